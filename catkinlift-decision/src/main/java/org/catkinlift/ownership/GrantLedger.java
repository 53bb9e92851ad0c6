package org.catkinlift.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.control.UpstreamRequest.Reply;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;

/**
 * Records what was granted to one upstream and when each grant has surely ended.
 *
 * <p>The lease of a grant counts from the newest reading of the upstream's clock, so the
 * coordinator counts it from the receipt of that reading, longer by the clock margin. Requests for
 * slots are numbered here by unit: a slot index, or the number of an override.
 */
final class GrantLedger {
  private final OwnershipTimings timings;
  private final Map<Integer, Long> heldUntil = new HashMap<>();
  private Optional<ClockReading> reading = Optional.empty();
  private long newestAnsweredCall;
  private long answeredAt;
  private int unansweredRequests;
  private Epoch sentSequence = Epoch.NONE;
  private Optional<HostId> sentDispatcher = Optional.empty();
  private Optional<HostId> confirmedDispatcher = Optional.empty();

  /** A reading of the upstream's clock. */
  record ClockReading(String instance, long clockMillis, long receivedAt) {}

  GrantLedger(OwnershipTimings timings, long nowNanos) {
    this.timings = timings;
    this.answeredAt = nowNanos;
  }

  /** Takes over an answer; an answer to an earlier call than the newest answered one is ignored. */
  void onReply(long call, Reply reply, long nowNanos) {
    if (call < newestAnsweredCall) {
      return;
    }
    switch (reply) {
      case Reply.Probed p -> recordReading(call, p.instance(), p.clockMillis(), nowNanos);
      case Reply.Granted g -> {
        recordReading(call, g.instance(), g.clockMillis(), nowNanos);
        if (g.sequence().equals(sentSequence)) {
          confirmedDispatcher = sentDispatcher;
        }
      }
      case Reply.Released r -> recordReading(call, r.instance(), r.clockMillis(), nowNanos);
      case Reply.Releasing r -> recordReading(call, r.instance(), r.clockMillis(), nowNanos);
      case Reply.Outdated o -> recordReading(call, o.instance(), o.clockMillis(), nowNanos);
      case Reply.NoAnswer n -> {}
    }
  }

  /** A new instance knows no grant of the earlier one, so nothing is held any more. */
  private void recordReading(long call, String instance, long clockMillis, long nowNanos) {
    newestAnsweredCall = call;
    answeredAt = nowNanos;
    unansweredRequests = 0;
    if (reading.filter(r -> !r.instance().equals(instance)).isPresent()) {
      heldUntil.clear();
      confirmedDispatcher = Optional.empty();
    }
    reading = Optional.of(new ClockReading(instance, clockMillis, nowNanos));
  }

  Optional<ClockReading> reading() {
    return reading;
  }

  /** Counts a request that expects an answer. */
  void onRequestSent() {
    unansweredRequests++;
  }

  boolean isLost(long nowNanos) {
    return LostUpstreamRule.isLost(answeredAt, unansweredRequests, nowNanos);
  }

  /** The dispatcher that the upstream has confirmed to accept alone. */
  Optional<HostId> confirmedDispatcher() {
    return confirmedDispatcher;
  }

  /**
   * Returns the lease for a grant, counted from the newest reading.
   *
   * @param wanted the lease that is wanted
   * @param authorityUntil the time beyond which no grant may reach
   * @return the lease in whole milliseconds; zero if the reading is too old or authority ends
   */
  Duration lease(Duration wanted, long authorityUntil, long nowNanos) {
    if (reading.isEmpty()) {
      return Duration.ZERO;
    }
    long readAt = reading.get().receivedAt();
    Duration bound = timings.minusClockMargin(authorityUntil - readAt);
    Duration lease = wanted.compareTo(bound) < 0 ? wanted : bound;
    boolean useful = readAt + lease.toNanos() > nowNanos + timings.heartbeat().toNanos() / 2;
    return useful ? Duration.ofMillis(lease.toMillis()) : Duration.ZERO;
  }

  void onGranted(Set<Integer> units, Epoch sequence, HostId dispatcher, Duration lease) {
    long until = reading.orElseThrow().receivedAt() + timings.plusClockMargin(lease);
    units.forEach(u -> heldUntil.merge(u, until, Math::max));
    sentSequence = sequence;
    if (!sentDispatcher.equals(Optional.of(dispatcher))) {
      confirmedDispatcher = Optional.empty();
    }
    sentDispatcher = Optional.of(dispatcher);
  }

  void onReleased(Set<Integer> units) {
    heldUntil.keySet().removeAll(units);
  }

  /** Tells whether the upstream may still hold a unit. */
  boolean mayHold(int unit, long nowNanos) {
    return heldUntil.getOrDefault(unit, Long.MIN_VALUE) >= nowNanos;
  }

  /** Returns when all grants have surely ended. */
  long latestGrantEnd() {
    return heldUntil.values().stream().mapToLong(Long::longValue).max().orElse(Long.MIN_VALUE);
  }
}
