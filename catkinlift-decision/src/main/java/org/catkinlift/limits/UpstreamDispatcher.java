package org.catkinlift.limits;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.limits.DispatchAction.CancelAtUpstream;
import org.catkinlift.limits.DispatchAction.Refuse;
import org.catkinlift.limits.DispatchAction.Report;
import org.catkinlift.limits.DispatchAction.Send;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.UpstreamId;

/**
 * Admits, queues and sends the requests to one upstream.
 *
 * <p>Each upstream has only one dispatcher in the whole site, so the dispatcher's count of requests
 * in flight is complete. It sends requests only under a current lease. Confined to the event loop
 * that owns the upstream's connections.
 */
public final class UpstreamDispatcher {
  /**
   * The default capacity of the queue, in multiples of the limit. Requests that wait while a slot
   * or lease moves arrive all at once; with a factor of 4, a planned drain at a load of a few
   * percent overflowed the queue.
   */
  public static final int DEFAULT_QUEUE_FACTOR = 16;

  private static final Duration RETRY_AFTER_LEASE_CHANGE = Duration.ofMillis(250);
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(10);

  private final UpstreamId upstream;
  private final HostId self;
  private final SlowStartLimiter limiter;
  private final RequestQueue queue;
  private final InFlightRequests inFlight = new InFlightRequests();
  private final DispatchLeaseState lease = new DispatchLeaseState();
  private final LoadMeter loadMeter;

  /**
   * Creates a dispatcher without a lease.
   *
   * @param upstream the upstream
   * @param self the host of this daemon
   * @param limit the number of requests that the upstream executes at once, at least 1
   * @param nowNanos the current time
   */
  public UpstreamDispatcher(UpstreamId upstream, HostId self, int limit, long nowNanos) {
    this(upstream, self, limit, DEFAULT_QUEUE_FACTOR, nowNanos);
  }

  /**
   * Creates a dispatcher without a lease.
   *
   * @param upstream the upstream
   * @param self the host of this daemon
   * @param limit the number of requests that the upstream executes at once, at least 1
   * @param queueFactor the capacity of the queue, in multiples of the limit
   * @param nowNanos the current time
   */
  public UpstreamDispatcher(
      UpstreamId upstream, HostId self, int limit, int queueFactor, long nowNanos) {
    this.upstream = upstream;
    this.self = self;
    this.limiter = new SlowStartLimiter(upstream, limit);
    this.queue = new RequestQueue(limit, queueFactor);
    this.loadMeter = new LoadMeter(nowNanos);
  }

  /**
   * Sends, queues or refuses a request.
   *
   * @param attempt the attempt, unique within the daemon
   * @param request the request; its deadline counts from now
   * @param slot the slot of the key, or -1
   * @param epoch the epoch of the slot owner, which the upstream checks
   * @param nowNanos the current time
   * @return the actions to carry out; empty if the request is queued
   */
  public ImmutableList<DispatchAction> offer(
      long attempt, RequestDescription request, int slot, Epoch epoch, long nowNanos) {
    loadMeter.offered(slot, request.key(), nowNanos);
    if (lease.isLost()) {
      return refuse(attempt, RefusalCode.DISPATCHER_UNREACHABLE, RETRY_AFTER_LEASE_CHANGE);
    }
    if (queue.isFull()) {
      return refuse(attempt, RefusalCode.QUEUE_FULL, retryAfter());
    }
    if (request.deadline().compareTo(Duration.ZERO) <= 0) {
      return refuse(attempt, RefusalCode.DEADLINE_PASSED, Duration.ZERO);
    }
    if (expectedWait(nowNanos).compareTo(request.deadline()) > 0) {
      return refuse(attempt, RefusalCode.DEADLINE_TOO_SHORT, retryAfter());
    }
    queue.add(QueuedRequest.of(attempt, request.deadline(), nowNanos));
    return sendQueued(nowNanos);
  }

  /**
   * Handles the result of an attempt that was sent.
   *
   * <p>After {@link AttemptResult.Failed} the request may still be executing, so it counts against
   * the limit until a later call reports the upstream's reply to the cancellation, or until the
   * request's deadline.
   *
   * @param attempt the attempt
   * @param result the result
   * @param nowNanos the current time
   * @return the actions to carry out; empty for an unknown attempt
   */
  public ImmutableList<DispatchAction> completed(
      long attempt, AttemptResult result, long nowNanos) {
    if (!inFlight.contains(attempt)) {
      return ImmutableList.of();
    }
    boolean awaitingResponse = inFlight.isAwaitingResponse(attempt);
    ImmutableList<DispatchAction> resultActions =
        switch (result) {
          case AttemptResult.Answered answered ->
              answered(attempt, answered, awaitingResponse, nowNanos);
          case AttemptResult.Shed shed -> ended(attempt, limiter.shed(nowNanos), nowNanos);
          case AttemptResult.Refused refused -> refused(attempt, refused.code(), nowNanos);
          case AttemptResult.Stopped stopped -> ended(attempt, ImmutableList.of(), nowNanos);
          case AttemptResult.Failed failed -> failed(attempt, failed.code(), awaitingResponse);
        };
    return concat(resultActions, sendQueued(nowNanos));
  }

  /**
   * Handles the cancellation of an attempt by its caller.
   *
   * @param attempt the attempt
   * @param nowNanos the current time
   * @return {@link CancelAtUpstream} if the attempt was sent; for a queued attempt, the requests
   *     that are sent after its removal
   */
  public ImmutableList<DispatchAction> cancelled(long attempt, long nowNanos) {
    if (queue.remove(attempt)) {
      return sendQueued(nowNanos);
    }
    return inFlight.isAwaitingResponse(attempt)
        ? ImmutableList.of(new CancelAtUpstream(attempt))
        : ImmutableList.of();
  }

  /**
   * Handles a new or renewed dispatch lease.
   *
   * @param granted the lease; if its holder is another host, this daemon has lost its lease
   * @param nowNanos the current time
   * @return the actions to carry out
   */
  public ImmutableList<DispatchAction> leaseGranted(DispatchLease granted, long nowNanos) {
    if (!granted.holder().equals(self)) {
      return leaseLost(nowNanos);
    }
    lease.granted(granted, nowNanos);
    return sendQueued(nowNanos);
  }

  /**
   * Handles the loss of the lease to another daemon.
   *
   * @param nowNanos the current time
   * @return a refusal for each queued request; requests in flight continue
   */
  public ImmutableList<DispatchAction> leaseLost(long nowNanos) {
    lease.lost();
    return queue.removeAll().stream()
        .map(
            r -> refusal(r.attempt(), RefusalCode.DISPATCHER_UNREACHABLE, RETRY_AFTER_LEASE_CHANGE))
        .collect(toImmutableList());
  }

  /**
   * Handles the revocation of the lease by the coordinator. From then on, {@link #load(long)}
   * includes a release with the requests that this dispatcher leaves at the upstream, if their
   * number is known.
   *
   * @param epoch the epoch of the lease, which is not accepted again
   * @param nowNanos the current time
   * @return a refusal for each queued request; requests in flight continue
   */
  public ImmutableList<DispatchAction> leaseReleased(Epoch epoch, long nowNanos) {
    lease.released(epoch);
    return leaseLost(nowNanos);
  }

  /**
   * Handles the instance that the upstream named in a reply to a probe or a grant.
   *
   * @param instance the instance of the upstream process
   * @param nowNanos the current time
   * @return the actions to carry out
   */
  public ImmutableList<DispatchAction> instanceSeen(String instance, long nowNanos) {
    return concat(updateInstance(instance, nowNanos), sendQueued(nowNanos));
  }

  /**
   * Handles the upstream's report of requests that it executes for previous dispatchers.
   *
   * @param requests the number of requests that were sent by other dispatchers
   * @param requestedNanos the time at which the report was requested
   * @param nowNanos the current time
   * @return the actions to carry out
   */
  public ImmutableList<DispatchAction> inheritedRequestsReported(
      int requests, long requestedNanos, long nowNanos) {
    lease.inheritedRequestsReported(requests, inFlight.isIdleSince(requestedNanos), requestedNanos);
    return sendQueued(nowNanos);
  }

  /**
   * Returns whether the upstream may still be executing requests of previous dispatchers, so that a
   * report should be requested.
   *
   * @param nowNanos the current time
   * @return false once it is known that none are left
   */
  public boolean mayHaveInheritedRequests(long nowNanos) {
    return lease.knownInheritedRequests(nowNanos).orElse(1) > 0;
  }

  /**
   * Handles expired deadlines and leases.
   *
   * @param nowNanos the current time
   * @return the actions to carry out
   */
  public ImmutableList<DispatchAction> tick(long nowNanos) {
    inFlight.expire(nowNanos);
    return concat(refuseExpired(nowNanos), sendQueued(nowNanos));
  }

  /**
   * Returns the load report for the coordinator.
   *
   * @param nowNanos the current time
   * @return the load as measured by this dispatcher
   */
  public UpstreamLoad load(long nowNanos) {
    return new UpstreamLoad(
        upstream,
        limiter.instance(),
        limiter.limit(),
        inFlight.count(),
        queue.size(),
        loadMeter.slotLoads(nowNanos),
        loadMeter.keyLoads(nowNanos),
        DispatchReleases.of(lease, inFlight, nowNanos));
  }

  private ImmutableList<DispatchAction> refuseExpired(long nowNanos) {
    boolean hasLease = lease.isCurrent(nowNanos);
    return queue.removeExpired(nowNanos, hasLease).stream()
        .map(r -> refusal(r.attempt(), expiryCode(r, nowNanos), retryAfter()))
        .collect(toImmutableList());
  }

  private static RefusalCode expiryCode(QueuedRequest request, long nowNanos) {
    return request.deadlineNanos() <= nowNanos
        ? RefusalCode.DEADLINE_PASSED
        : RefusalCode.DISPATCHER_UNREACHABLE;
  }

  private ImmutableList<DispatchAction> answered(
      long attempt, AttemptResult.Answered answer, boolean awaitingResponse, long nowNanos) {
    inFlight.ended(attempt, nowNanos);
    ImmutableList<DispatchAction> instance = updateInstance(answer.instance(), nowNanos);
    return awaitingResponse
        ? concat(instance, toReports(limiter.answered(answer.latency(), nowNanos)))
        : instance;
  }

  private ImmutableList<DispatchAction> ended(
      long attempt, List<DecisionEvent> events, long nowNanos) {
    inFlight.ended(attempt, nowNanos);
    return toReports(events);
  }

  /**
   * Handles a refusal. A failed connection attempt may indicate a restart, after which the upstream
   * is cold.
   */
  private ImmutableList<DispatchAction> refused(long attempt, RefusalCode code, long nowNanos) {
    if (code == RefusalCode.CONNECT_FAILED) {
      limiter.connectionLost();
    }
    return ended(attempt, ImmutableList.of(), nowNanos);
  }

  private ImmutableList<DispatchAction> failed(
      long attempt, RefusalCode code, boolean awaitingResponse) {
    if (!awaitingResponse) {
      return ImmutableList.of();
    }
    inFlight.outcomeUnknown(attempt);
    if (code == RefusalCode.CONNECTION_LOST) {
      limiter.connectionLost();
    }
    return ImmutableList.of(new CancelAtUpstream(attempt));
  }

  private ImmutableList<DispatchAction> updateInstance(String instance, long nowNanos) {
    String previousInstance = limiter.instance();
    ImmutableList<DispatchAction> reports = toReports(limiter.instanceSeen(instance, nowNanos));
    if (!previousInstance.isEmpty() && !previousInstance.equals(limiter.instance())) {
      inFlight.instanceChanged(nowNanos);
    }
    return reports;
  }

  private ImmutableList<DispatchAction> sendQueued(long nowNanos) {
    var actions = ImmutableList.<DispatchAction>builder();
    while (maySend(nowNanos)) {
      Optional<QueuedRequest> next = queue.poll();
      if (next.isEmpty()) {
        break;
      }
      actions.add(sendOrRefuse(next.get(), nowNanos));
    }
    return actions.build();
  }

  private boolean maySend(long nowNanos) {
    int limit = limiter.limit();
    return lease.isCurrent(nowNanos)
        && inFlight.count() + lease.inheritedRequests(limit, nowNanos) < limit;
  }

  private DispatchAction sendOrRefuse(QueuedRequest request, long nowNanos) {
    Duration remaining = request.remaining(nowNanos);
    if (remaining.isZero()) {
      return refusal(request.attempt(), RefusalCode.DEADLINE_PASSED, retryAfter());
    }
    Duration startBefore =
        remaining.compareTo(DispatchLeaseState.MAX_START_BEFORE) < 0
            ? remaining
            : DispatchLeaseState.MAX_START_BEFORE;
    inFlight.sent(request.attempt(), nowNanos + startBefore.toNanos(), request.deadlineNanos());
    return new Send(request.attempt(), startBefore, remaining);
  }

  /**
   * Returns the expected time until the response to a new request, if all requests take the median
   * latency.
   *
   * <p>Zero if the upstream is idle, so that requests are sent and a wrong estimate corrects
   * itself.
   */
  private Duration expectedWait(long nowNanos) {
    int limit = limiter.limit();
    int busy = inFlight.count() + lease.inheritedRequests(limit, nowNanos);
    if (busy + queue.size() == 0) {
      return Duration.ZERO;
    }
    int ahead = Math.max(0, busy + queue.size() - limit + 1);
    int rounds = 1 + ahead / limit;
    return limiter.medianLatency().multipliedBy(rounds);
  }

  private Duration retryAfter() {
    Duration drainTime =
        limiter.medianLatency().multipliedBy(1 + queue.size()).dividedBy(limiter.limit());
    return drainTime.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : drainTime;
  }

  private static ImmutableList<DispatchAction> refuse(
      long attempt, RefusalCode code, Duration retryAfter) {
    return ImmutableList.of(refusal(attempt, code, retryAfter));
  }

  private static DispatchAction refusal(long attempt, RefusalCode code, Duration retryAfter) {
    return new Refuse(attempt, new Outcome.NotRun(code, retryAfter));
  }

  private static ImmutableList<DispatchAction> toReports(List<DecisionEvent> events) {
    return events.stream().map(Report::new).collect(toImmutableList());
  }

  private static ImmutableList<DispatchAction> concat(
      ImmutableList<DispatchAction> first, ImmutableList<DispatchAction> second) {
    return ImmutableList.<DispatchAction>builder().addAll(first).addAll(second).build();
  }
}
