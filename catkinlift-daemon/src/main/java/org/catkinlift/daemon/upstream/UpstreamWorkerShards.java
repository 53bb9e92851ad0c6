package org.catkinlift.daemon.upstream;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import org.catkinlift.control.DispatchLeaseSnapshot;
import org.catkinlift.daemon.relay.AttemptDispatcher;
import org.catkinlift.daemon.relay.AttemptListener;
import org.catkinlift.daemon.relay.AttemptStream;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.protocol.RelayHead;

/** Distributes the upstreams that this daemon dispatches to over its event loops. */
public final class UpstreamWorkerShards implements AttemptDispatcher {
  private final ImmutableList<UpstreamWorkers> shards;

  /**
   * Creates the shards.
   *
   * @param shards the workers of each event loop, at least one
   */
  public UpstreamWorkerShards(ImmutableList<UpstreamWorkers> shards) {
    this.shards = shards;
  }

  @Override
  public AttemptStream open(RelayHead head, AttemptListener listener) {
    return shardOf(head.upstream()).open(head, listener);
  }

  /**
   * Passes the dispatch leases that this daemon holds, and the revoked ones, to the event loops of
   * their upstreams.
   *
   * @param leases the leases
   */
  public void leasesChanged(DispatchLeaseSnapshot leases) {
    for (UpstreamWorkers shard : shards) {
      shard.leasesChanged(
          new DispatchLeaseSnapshot(
              leases.held().stream()
                  .filter(l -> shardOf(l.upstream()) == shard)
                  .collect(toImmutableList()),
              ImmutableMap.copyOf(Maps.filterKeys(leases.revoked(), u -> shardOf(u) == shard)),
              leases.atNanos()));
    }
  }

  /**
   * Notifies the worker of an upstream of its instance.
   *
   * @param upstream the upstream
   * @param instance identifies the current run of the upstream's process
   */
  public void instanceSeen(UpstreamId upstream, String instance) {
    shardOf(upstream).instanceSeen(upstream, instance);
  }

  private UpstreamWorkers shardOf(UpstreamId upstream) {
    return shards.get(Math.floorMod(upstream.hashCode(), shards.size()));
  }
}
