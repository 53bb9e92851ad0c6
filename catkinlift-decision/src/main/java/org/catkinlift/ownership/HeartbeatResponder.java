package org.catkinlift.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.catkinlift.control.DigestExchange;
import org.catkinlift.control.DigestRange;
import org.catkinlift.control.PeerMessage.Digest;
import org.catkinlift.control.PeerMessage.Heartbeat;
import org.catkinlift.control.PeerMessage.HeartbeatAck;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;

/**
 * Answers heartbeats with the loads and releases of this daemon's dispatchers and with the versions
 * that the coordinator of the term has not seen yet.
 */
final class HeartbeatResponder {
  /**
   * Event loops report every 250 ms. Loads of removed dispatchers are no longer reported after this
   * time.
   */
  private static final Duration LOAD_VALID_FOR = Duration.ofSeconds(1);

  private final CellContext context;
  private DigestExchange exchange;
  private long term;
  private final Map<UpstreamId, TimedLoad> loads = new TreeMap<>();
  private ImmutableSet<ReleaseState> knownReleases = ImmutableSet.of();
  private Optional<SentAck> latestAck = Optional.empty();

  private record TimedLoad(UpstreamLoad load, long atNanos) {}

  private record ReleaseState(UpstreamId upstream, Epoch epoch, boolean ended) {}

  /**
   * The latest answer. The digest is kept, because all answers with the same sequence must state
   * the same versions.
   */
  private record SentAck(
      HostId coordinator, long term, long sequence, Digest digest, DigestRange range) {}

  HeartbeatResponder(CellContext context) {
    this.context = context;
    this.exchange = new DigestExchange(context.store());
  }

  /**
   * Answers a heartbeat.
   *
   * @param heartbeat a heartbeat whose term and sequence have not been answered before
   */
  void onHeartbeat(HostId from, Heartbeat heartbeat, long nowNanos, Outbox out) {
    if (heartbeat.term() != term) {
      term = heartbeat.term();
      exchange = new DigestExchange(context.store()); // sequences restart with each term
    }
    exchange.received(term, heartbeat.sequence(), heartbeat.range());
    DigestExchange.Outgoing next = exchange.next(heartbeat.sequence());
    var range =
        new DigestRange(context.ids().runFingerprint(), next.base(), exchange.acknowledged());
    latestAck = Optional.of(new SentAck(from, term, heartbeat.sequence(), next.digest(), range));
    sendAck(nowNanos, out);
  }

  /**
   * Records the loads of one event loop. The latest answer is sent again immediately with a new
   * release, because the next dispatcher waits for it, and when the requests left behind have
   * ended, because this daemon may stop.
   */
  void onLoadReported(ImmutableList<UpstreamLoad> reports, long nowNanos, Outbox out) {
    reports.forEach(l -> loads.put(l.upstream(), new TimedLoad(l, nowNanos)));
    loads.values().removeIf(r -> nowNanos - r.atNanos > LOAD_VALID_FOR.toNanos());
    ImmutableSet<ReleaseState> previousReleases = knownReleases;
    knownReleases =
        loads.values().stream()
            .flatMap(r -> releaseState(r.load).stream())
            .collect(toImmutableSet());
    if (!previousReleases.containsAll(knownReleases)) {
      sendAck(nowNanos, out);
    }
  }

  private static Optional<ReleaseState> releaseState(UpstreamLoad load) {
    return load.release().map(r -> new ReleaseState(load.upstream(), r.epoch(), r.running() == 0));
  }

  private void sendAck(long nowNanos, Outbox out) {
    ImmutableList<UpstreamLoad> current =
        loads.values().stream()
            .filter(r -> nowNanos - r.atNanos <= LOAD_VALID_FOR.toNanos())
            .map(TimedLoad::load)
            .collect(toImmutableList());
    latestAck.ifPresent(
        a ->
            out.send(
                a.coordinator,
                new HeartbeatAck(context.cell(), a.term, a.sequence, a.digest, a.range, current)));
  }
}
