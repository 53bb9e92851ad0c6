package org.catkinlift.limits;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.DispatchRelease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.RequestId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/** Drives a dispatcher with a manually advanced clock. */
public final class DispatcherFixture {
  private static final UpstreamId UPSTREAM = UpstreamId.of("upstream");
  private static final HostId SELF = HostId.of("self");
  private static final Duration TYPICAL_LATENCY = Duration.ofMillis(10);
  private static final Duration LEASE_DURATION = Duration.ofHours(1);

  private final UpstreamDispatcher dispatcher;
  private long nowNanos;
  private long nextAttempt = 1;

  private DispatcherFixture(int limit) {
    this.dispatcher = new UpstreamDispatcher(UPSTREAM, SELF, limit, 4, 0);
  }

  /** Returns a dispatcher that never had a lease. */
  public static DispatcherFixture withoutLease(int limit) {
    return new DispatcherFixture(limit);
  }

  /** Returns a dispatcher that holds a lease for an idle upstream. */
  public static DispatcherFixture ready(int limit) {
    var fixture = new DispatcherFixture(limit);
    fixture.grant(1, LEASE_DURATION);
    fixture.advance(Duration.ofMillis(500));
    fixture.reportInherited(0);
    fixture.observeInstance("first");
    return fixture;
  }

  public void advance(Duration duration) {
    nowNanos += duration.toNanos();
  }

  public ImmutableList<DispatchAction> grant(long counter, Duration remaining) {
    return grant(SELF, counter, remaining);
  }

  public ImmutableList<DispatchAction> grant(HostId holder, long counter, Duration remaining) {
    var lease = new DispatchLease(UPSTREAM, holder, Epoch.of(1, counter), remaining);
    return dispatcher.leaseGranted(lease, nowNanos);
  }

  /** Grants a lease that carries the release of a previous dispatcher. */
  public ImmutableList<DispatchAction> grantAfter(DispatchRelease priorRelease, long counter) {
    var lease =
        new DispatchLease(
            UPSTREAM, SELF, Epoch.of(1, counter), LEASE_DURATION, Optional.of(priorRelease));
    return dispatcher.leaseGranted(lease, nowNanos);
  }

  public ImmutableList<DispatchAction> releaseLease(long counter) {
    return dispatcher.leaseReleased(Epoch.of(1, counter), nowNanos);
  }

  public Optional<DispatchRelease> release() {
    return dispatcher.load(nowNanos).release();
  }

  public ImmutableList<DispatchAction> reportInherited(int requests) {
    return dispatcher.inheritedRequestsReported(requests, nowNanos, nowNanos);
  }

  public ImmutableList<DispatchAction> observeInstance(String instance) {
    return dispatcher.instanceSeen(instance, nowNanos);
  }

  public ImmutableList<DispatchAction> offer(Duration deadline) {
    RequestDescription request =
        RequestDescription.builder()
            .id(RequestId.of("same-id"))
            .service(ServiceName.of("service"))
            .key("key")
            .deadline(deadline)
            .build();
    return dispatcher.offer(nextAttempt++, request, 5, Epoch.of(1, 1), nowNanos);
  }

  public ImmutableList<DispatchAction> offer() {
    return offer(Duration.ofSeconds(10));
  }

  /** Offers the given number of requests and returns the attempts that are sent. */
  public ImmutableList<Long> offerMany(int count) {
    var sent = ImmutableList.<Long>builder();
    for (int i = 0; i < count; i++) {
      sent.addAll(sent(offer()));
    }
    return sent.build();
  }

  public ImmutableList<DispatchAction> answer(long attempt) {
    return answer(attempt, TYPICAL_LATENCY, "first");
  }

  public ImmutableList<DispatchAction> answer(long attempt, Duration latency, String instance) {
    return complete(attempt, new AttemptResult.Answered(latency, instance));
  }

  public ImmutableList<DispatchAction> complete(long attempt, AttemptResult result) {
    return dispatcher.completed(attempt, result, nowNanos);
  }

  public ImmutableList<DispatchAction> cancel(long attempt) {
    return dispatcher.cancelled(attempt, nowNanos);
  }

  public ImmutableList<DispatchAction> loseLease() {
    return dispatcher.leaseLost(nowNanos);
  }

  public ImmutableList<DispatchAction> tick() {
    return dispatcher.tick(nowNanos);
  }

  /**
   * Answers enough requests with the typical latency for the dispatcher to know its median latency.
   */
  public void learnMedianLatency() {
    for (int i = 0; i < 64; i++) {
      sent(offer()).forEach(this::answer);
    }
  }

  public int currentLimit() {
    return dispatcher.load(nowNanos).currentLimit();
  }

  public int inFlight() {
    return dispatcher.load(nowNanos).inFlight();
  }

  public int queued() {
    return dispatcher.load(nowNanos).queued();
  }

  public long lastAttempt() {
    return nextAttempt - 1;
  }

  public static ImmutableList<Long> sent(ImmutableList<DispatchAction> actions) {
    return actions.stream()
        .filter(DispatchAction.Send.class::isInstance)
        .map(a -> ((DispatchAction.Send) a).attempt())
        .collect(toImmutableList());
  }

  public static ImmutableList<DispatchAction.Refuse> refused(
      ImmutableList<DispatchAction> actions) {
    return actions.stream()
        .filter(DispatchAction.Refuse.class::isInstance)
        .map(DispatchAction.Refuse.class::cast)
        .collect(toImmutableList());
  }
}
