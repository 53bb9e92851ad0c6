package org.catkinlift.daemon.upstream;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import org.catkinlift.control.DispatchLeaseSnapshot;
import org.catkinlift.daemon.relay.DispatchEnd;
import org.catkinlift.daemon.relay.Dispatching;
import org.catkinlift.daemon.relay.EntryEnd;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.protocol.RelayHead;

/** Divides the upstreams that this daemon dispatches to over its event loops. */
public final class WorkerLoops implements Dispatching {
  private final ImmutableList<UpstreamWorkers> loops;

  /**
   * Creates the division.
   *
   * @param loops the registry of each event loop, at least one
   */
  public WorkerLoops(ImmutableList<UpstreamWorkers> loops) {
    this.loops = loops;
  }

  @Override
  public DispatchEnd open(RelayHead head, EntryEnd entry) {
    return loopOf(head.upstream()).open(head, entry);
  }

  /**
   * Takes the dispatch leases that this daemon holds or has given up.
   *
   * @param duties the leases
   */
  public void dutiesChanged(DispatchLeaseSnapshot duties) {
    for (UpstreamWorkers loop : loops) {
      loop.dutiesChanged(
          new DispatchLeaseSnapshot(
              duties.held().stream()
                  .filter(l -> loopOf(l.upstream()) == loop)
                  .collect(toImmutableList()),
              ImmutableMap.copyOf(Maps.filterKeys(duties.revoked(), u -> loopOf(u) == loop)),
              duties.atNanos()));
    }
  }

  /**
   * Takes the instance of an upstream.
   *
   * @param upstream the upstream
   * @param instance the run of its process
   */
  public void instanceSeen(UpstreamId upstream, String instance) {
    loopOf(upstream).instanceSeen(upstream, instance);
  }

  private UpstreamWorkers loopOf(UpstreamId upstream) {
    return loops.get(Math.floorMod(upstream.hashCode(), loops.size()));
  }
}
