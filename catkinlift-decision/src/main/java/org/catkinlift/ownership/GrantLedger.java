package org.catkinlift.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.control.UpstreamRequest.Reply;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;

/**
 * Records the units granted to one upstream and when each grant has certainly expired.
 *
 * <p>The lease of a grant starts at the latest reading of the upstream's clock. The coordinator
 * measures it from the receipt of that reading and extends it by the clock margin. A unit is a slot
 * index or the number of an override of a service, as in {@link UnitTable}.
 */
final class GrantLedger {
  private final OwnershipTimings timings;
  private final Map<HeldUnit, Hold> holds = new HashMap<>();
  private Optional<ClockReading> reading = Optional.empty();
  private long newestAnsweredCall;
  private long newestSentCall;

  /**
   * The newest call that had been sent when the present instance was first seen. The upstream may
   * have taken calls up to this one in another order, so only an answer to a later call proves that
   * another instance has replaced this one.
   */
  private long newestCallBeforeInstance;

  private long answeredAt;
  private int unansweredRequests;
  private boolean earlierGrantsEnded;
  private Optional<SentGrant> newestGrant = Optional.empty();
  private Optional<HostId> confirmedDispatcher = Optional.empty();

  /** A reading of the upstream's clock and the local time at which it arrived. */
  record ClockReading(String instance, long clockMillis, long receivedAt) {}

  private record HeldUnit(ServiceName service, int unit) {}

  /** The time until which a unit may be held, and the latest grant that contains it. */
  private record Hold(long untilNanos, Epoch sequence) {
    Hold extendedBy(Hold next) {
      return new Hold(Math.max(untilNanos, next.untilNanos), next.sequence);
    }

    Hold lastingUntil(long nanos) {
      return new Hold(Math.max(untilNanos, nanos), sequence);
    }

    Hold endingBy(long nanos) {
      return new Hold(Math.min(untilNanos, nanos), sequence);
    }
  }

  private record SentGrant(
      ServiceName service, HostId dispatcher, Epoch sequence, long untilNanos) {}

  GrantLedger(OwnershipTimings timings, long nowNanos) {
    this.timings = timings;
    this.answeredAt = nowNanos;
  }

  /** Processes an answer; ignores answers to calls older than the latest answered call. */
  void onReply(long call, Reply reply, long nowNanos) {
    if (call < newestAnsweredCall) {
      return;
    }
    switch (reply) {
      case Reply.Probed p -> recordReading(call, p.instance(), p.clockMillis(), nowNanos);
      case Reply.Granted g -> {
        boolean recorded = recordReading(call, g.instance(), g.clockMillis(), nowNanos);
        if (recorded) {
          onConfirmed(g.sequence());
        }
      }
      case Reply.Released r -> recordReading(call, r.instance(), r.clockMillis(), nowNanos);
      case Reply.Releasing r -> recordReading(call, r.instance(), r.clockMillis(), nowNanos);
      case Reply.Outdated o -> recordReading(call, o.instance(), o.clockMillis(), nowNanos);
      case Reply.NoAnswer n -> {}
    }
  }

  /**
   * Records a reading. A restarted upstream has none of the grants of its earlier run, so it holds
   * no units.
   *
   * @return false if the reading may be one of an earlier run, which is ignored
   */
  private boolean recordReading(long call, String instance, long clockMillis, long nowNanos) {
    newestAnsweredCall = call;
    answeredAt = nowNanos;
    unansweredRequests = 0;
    if (reading.filter(r -> r.instance().equals(instance)).isEmpty()) {
      if (call <= newestCallBeforeInstance) {
        return false;
      }
      newestCallBeforeInstance = newestSentCall;
      if (reading.isPresent()) {
        instanceReplaced();
      }
    }
    reading = Optional.of(new ClockReading(instance, clockMillis, nowNanos));
    return true;
  }

  /** The first reading, in contrast, does not show whether the upstream was restarted. */
  private void instanceReplaced() {
    holds.clear();
    confirmedDispatcher = Optional.empty();
    earlierGrantsEnded = true;
  }

  /** The newest grant has replaced all earlier grants of its service once it is confirmed. */
  private void onConfirmed(Epoch sequence) {
    newestGrant
        .filter(g -> g.sequence.equals(sequence))
        .ifPresent(
            g -> {
              confirmedDispatcher = Optional.of(g.dispatcher);
              earlierGrantsEnded = true;
              endReplacedGrants(g);
            });
  }

  /**
   * Ends earlier grants with the one that replaced them. A unit that it does not contain stays held
   * until then, because requests for it may still be running.
   */
  private void endReplacedGrants(SentGrant grant) {
    holds.replaceAll((u, h) -> u.service.equals(grant.service) ? h.endingBy(grant.untilNanos) : h);
  }

  Optional<ClockReading> reading() {
    return reading;
  }

  /** Records a grant or probe that has been sent to the upstream, and counts it. */
  void onRequestSent(long call) {
    newestSentCall = call;
    unansweredRequests++;
  }

  /** Records a release request that has been sent to the upstream. */
  void onReleaseSent(long call) {
    newestSentCall = call;
  }

  boolean isLost(long nowNanos) {
    return LostUpstreamRule.isLost(answeredAt, unansweredRequests, nowNanos);
  }

  /** Returns the only dispatcher that the upstream accepts, if the upstream has confirmed it. */
  Optional<HostId> confirmedDispatcher() {
    return confirmedDispatcher;
  }

  /**
   * Returns the lease of a new grant, measured from the latest clock reading.
   *
   * @param requested the requested lease
   * @param authorityUntil the time by which the grant must have expired
   * @return the lease in whole milliseconds; zero if the reading is too old or the coordinator's
   *     authority ends too soon
   */
  Duration lease(Duration requested, long authorityUntil, long nowNanos) {
    if (reading.isEmpty()) {
      return Duration.ZERO;
    }
    long readAt = reading.get().receivedAt();
    Duration bound = timings.minusClockMargin(authorityUntil - readAt);
    Duration lease = requested.compareTo(bound) < 0 ? requested : bound;
    boolean useful = readAt + lease.toNanos() > nowNanos + timings.heartbeat().toNanos() / 2;
    return useful ? Duration.ofMillis(lease.toMillis()) : Duration.ZERO;
  }

  /** Records a grant that is sent to the upstream. */
  void onGranted(GrantContent content, Epoch sequence, Duration lease) {
    long until = reading.orElseThrow().receivedAt() + timings.plusClockMargin(lease);
    var hold = new Hold(until, sequence);
    content
        .units()
        .forEach(u -> holds.merge(new HeldUnit(content.service(), u), hold, Hold::extendedBy));
    confirmedDispatcher = confirmedDispatcher.filter(content.dispatcher()::equals);
    newestGrant =
        Optional.of(new SentGrant(content.service(), content.dispatcher(), sequence, until));
  }

  /**
   * Records that a part of a unit has become a unit of its own. A grant of the whole unit includes
   * the part, even if no later grant that names the part reaches the upstream.
   */
  void onUnitSplit(ServiceName service, int whole, int part) {
    Hold hold = holds.get(new HeldUnit(service, whole));
    if (hold != null) {
      holds.merge(new HeldUnit(service, part), hold, Hold::extendedBy);
    }
  }

  /**
   * Records a unit that an earlier run of the coordinator may have granted to the upstream. Ignored
   * if the upstream has confirmed a grant of this run or was restarted since, because then it holds
   * no earlier grant.
   *
   * @param untilNanos the time by which each grant of the earlier run has expired
   */
  void onGrantedByEarlierRun(ServiceName service, int unit, long untilNanos) {
    if (!earlierGrantsEnded) {
      holds.merge(
          new HeldUnit(service, unit),
          new Hold(untilNanos, Epoch.NONE),
          (known, earlier) -> known.lastingUntil(earlier.untilNanos));
    }
  }

  /**
   * Records that the upstream has released units. A unit that was granted again after the release
   * request was sent stays held.
   *
   * @param sequence the sequence of the release request
   */
  void onReleased(ServiceName service, Set<Integer> units, Epoch sequence) {
    units.stream()
        .map(u -> new HeldUnit(service, u))
        .forEach(u -> holds.computeIfPresent(u, (k, h) -> sequence.isAfter(h.sequence) ? null : h));
  }

  /** Returns whether the upstream may still hold a unit of a service. */
  boolean mayHold(ServiceName service, int unit, long nowNanos) {
    Hold hold = holds.get(new HeldUnit(service, unit));
    return hold != null && hold.untilNanos >= nowNanos;
  }

  /** Returns the time at which all grants have certainly expired. */
  long latestGrantEnd() {
    return holds.values().stream().mapToLong(Hold::untilNanos).max().orElse(Long.MIN_VALUE);
  }
}
