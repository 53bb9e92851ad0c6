package org.catkinlift.membership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlAction.SendToPeer;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/**
 * Reports the live members of the cell to all of them while this daemon is the coordinator.
 *
 * <p>A daemon that receives heartbeat acknowledgements is the coordinator. Small cells, in which
 * the ring of hellos reaches every peer, need no report.
 */
final class LiveMemberReporter {
  /**
   * Reports are repeated at this interval in case one was lost. Sending 32 members to 31 of them
   * takes 50 KB; every 30 s this would be 1.7 KB/s, too large a part of the 6 KB/s available to a
   * daemon.
   */
  private static final Duration INTERVAL = Duration.ofMinutes(2);

  private final HostDefinition self;
  private final MemberTable table;
  private ImmutableSet<HostId> lastReported = ImmutableSet.of();
  private long lastAckNanos = Long.MIN_VALUE;
  private long nextReportNanos = Long.MIN_VALUE;

  LiveMemberReporter(HostDefinition self, MemberTable table) {
    this.self = self;
    this.table = table;
  }

  /** Returns whether a hello is a report: only a report lists its own sender as a known host. */
  static boolean isReport(PeerMessage.Hello hello) {
    return hello.known().contains(hello.self());
  }

  void recordHeartbeatAck(long nowNanos) {
    lastAckNanos = nowNanos;
  }

  ImmutableList<ControlAction> tick(ImmutableSet<HostId> live, long nowNanos) {
    if (!isCoordinator(nowNanos) || table.cellPeers().size() <= HelloScheduler.RING_SUCCESSORS) {
      lastReported = ImmutableSet.of();
      return ImmutableList.of();
    }
    if (live.equals(lastReported) && nowNanos < nextReportNanos) {
      return ImmutableList.of();
    }
    lastReported = live;
    nextReportNanos = nowNanos + INTERVAL.toNanos();
    var hello = new PeerMessage.Hello(self, definitions(live), false);
    return live.stream()
        .filter(h -> !h.equals(self.id()))
        .map(h -> new SendToPeer(h, hello))
        .collect(toImmutableList());
  }

  private boolean isCoordinator(long nowNanos) {
    return lastAckNanos != Long.MIN_VALUE
        && nowNanos - lastAckNanos <= MemberTable.SUSPICION_TIMEOUT.toNanos();
  }

  private ImmutableSet<HostDefinition> definitions(ImmutableSet<HostId> hosts) {
    return hosts.stream().map(table::find).flatMap(Optional::stream).collect(toImmutableSet());
  }
}
