package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.catkinlift.control.PeerMessage.Heartbeat;
import org.catkinlift.control.PeerMessage.HeartbeatAck;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;

/** Answers heartbeats with the loads and releases of this daemon's dispatchers. */
final class HeartbeatAnswers {
  /** Event loops report every 250 ms; a dispatcher that is gone is no longer reported. */
  private static final Duration LOAD_VALID_FOR = Duration.ofSeconds(1);

  private final CellContext context;
  private final Map<UpstreamId, Reported> loads = new TreeMap<>();
  private ImmutableSet<Released> released = ImmutableSet.of();
  private Optional<Answered> latest = Optional.empty();

  private record Reported(UpstreamLoad load, long atNanos) {}

  private record Released(UpstreamId upstream, Epoch epoch, boolean ended) {}

  private record Answered(HostId coordinator, long term, long sequence) {}

  HeartbeatAnswers(CellContext context) {
    this.context = context;
  }

  void answer(HostId from, Heartbeat heartbeat, long nowNanos, Outbox out) {
    latest = Optional.of(new Answered(from, heartbeat.term(), heartbeat.sequence()));
    send(nowNanos, out);
  }

  /**
   * Takes the loads of one event loop. A new release repeats the latest answer at once, because the
   * next dispatcher waits for it; so does the end of what was left, because this daemon may stop.
   */
  void reported(ImmutableList<UpstreamLoad> reports, long nowNanos, Outbox out) {
    reports.forEach(l -> loads.put(l.upstream(), new Reported(l, nowNanos)));
    loads.values().removeIf(r -> nowNanos - r.atNanos > LOAD_VALID_FOR.toNanos());
    ImmutableSet<Released> before = released;
    released =
        loads.values().stream().flatMap(r -> releaseOf(r.load).stream()).collect(toImmutableSet());
    if (!before.containsAll(released)) {
      send(nowNanos, out);
    }
  }

  private static Optional<Released> releaseOf(UpstreamLoad load) {
    return load.release().map(r -> new Released(load.upstream(), r.epoch(), r.running() == 0));
  }

  private void send(long nowNanos, Outbox out) {
    ImmutableList<UpstreamLoad> current =
        loads.values().stream()
            .filter(r -> nowNanos - r.atNanos <= LOAD_VALID_FOR.toNanos())
            .map(Reported::load)
            .collect(toImmutableList());
    latest.ifPresent(
        a ->
            out.send(
                a.coordinator,
                new HeartbeatAck(
                    context.cell(), a.term, a.sequence, context.store().digest(), current)));
  }
}
