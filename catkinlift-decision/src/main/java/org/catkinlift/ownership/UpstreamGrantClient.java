package org.catkinlift.ownership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.control.UpstreamRequest.Reply;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/** Sends grants, releases and probes to the upstreams of a cell and tracks the grants of each. */
final class UpstreamGrantClient {
  private final OwnershipTimings timings;
  private final EpochIssuer epochs;
  private final Map<UpstreamId, GrantLedger> ledgers = new HashMap<>();
  private final Map<Long, SentRelease> releaseCalls = new HashMap<>();

  /** The units that an upstream is requested to release. */
  record ReleaseCall(ServiceName service, UpstreamId upstream, ImmutableSet<Integer> units) {}

  private record SentRelease(ReleaseCall call, Epoch sequence) {}

  /**
   * The answer to a release request.
   *
   * @param call the request
   * @param sequence the sequence of the request; the answer says nothing about later grants
   * @param released whether the units are released; false while requests for them are running
   */
  record ReleaseAnswer(ReleaseCall call, Epoch sequence, boolean released) {}

  UpstreamGrantClient(OwnershipTimings timings, EpochIssuer epochs) {
    this.timings = timings;
    this.epochs = epochs;
  }

  GrantLedger ledger(UpstreamId upstream, long nowNanos) {
    return ledgers.computeIfAbsent(upstream, u -> new GrantLedger(timings, nowNanos));
  }

  boolean isLost(UpstreamId upstream, long nowNanos) {
    return ledger(upstream, nowNanos).isLost(nowNanos);
  }

  /**
   * Grants units, or probes the upstream if no grant is possible, for example because the latest
   * reading of its clock is too old.
   *
   * @param requested the requested lease
   * @param authorityUntil the time by which the grant must have expired
   */
  void grant(
      GrantContent content, Duration requested, long authorityUntil, long nowNanos, Outbox out) {
    GrantLedger ledger = ledger(content.upstream(), nowNanos);
    Duration lease = ledger.lease(requested, authorityUntil, nowNanos);
    if (lease.isZero()) {
      ledger.onRequestSent(out.callUpstream(content.upstream(), new UpstreamRequest.Probe()));
      return;
    }
    GrantLedger.ClockReading reading = ledger.reading().orElseThrow();
    var sequence = epochs.next();
    ledger.onGranted(content, sequence, lease);
    var request =
        new UpstreamRequest.Grant(
            content.service(),
            reading.instance(),
            sequence,
            reading.clockMillis() + lease.toMillis(),
            content.dispatcher(),
            content.slots(),
            content.overrides());
    ledger.onRequestSent(out.callUpstream(content.upstream(), request));
  }

  void release(
      ReleaseCall call,
      ImmutableSortedSet<Integer> slots,
      ImmutableSortedSet<String> overrides,
      long nowNanos,
      Outbox out) {
    var request = new UpstreamRequest.Release(call.service(), epochs.next(), slots, overrides);
    var sent = new SentRelease(call, request.sequence());
    long number = out.callUpstream(call.upstream(), request);
    ledger(call.upstream(), nowNanos).onReleaseSent(number);
    releaseCalls.put(number, sent);
  }

  /** Processes an answer and returns the result if it answers a release request. */
  Optional<ReleaseAnswer> onReply(
      long call, UpstreamId upstream, Reply reply, long nowNanos, Outbox out) {
    ledger(upstream, nowNanos).onReply(call, reply, nowNanos);
    SentRelease release = releaseCalls.remove(call);
    if (reply instanceof Reply.Outdated outdated) {
      out.log(
          EventCode.GRANT_REFUSED,
          ImmutableMap.of(
              DecisionEvent.UPSTREAM_FIELD,
              upstream.value(),
              "reason",
              "upstream has seen " + outdated.newest()));
    }
    if (release == null) {
      return Optional.empty();
    }
    return switch (reply) {
      case Reply.Released r -> {
        ledger(upstream, nowNanos)
            .onReleased(release.call.service(), release.call.units(), release.sequence);
        yield Optional.of(new ReleaseAnswer(release.call, release.sequence, true));
      }
      case Reply.Releasing r ->
          Optional.of(new ReleaseAnswer(release.call, release.sequence, false));
      case Reply.Probed p -> Optional.empty();
      case Reply.Granted g -> Optional.empty();
      case Reply.Outdated o -> Optional.empty();
      case Reply.NoAnswer n -> Optional.empty();
    };
  }

  /** Returns the time at which the grants to all upstreams have certainly expired. */
  long latestGrantEnd() {
    return ledgers.values().stream()
        .mapToLong(GrantLedger::latestGrantEnd)
        .max()
        .orElse(Long.MIN_VALUE);
  }

  /** Returns the only dispatcher that an upstream accepts, if the upstream has confirmed it. */
  Optional<HostId> confirmedDispatcher(UpstreamId upstream, long nowNanos) {
    return ledger(upstream, nowNanos).confirmedDispatcher();
  }
}
