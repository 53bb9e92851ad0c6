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
 * <p>There is one dispatcher per upstream in the whole site, so its count of requests in execution
 * is complete. It sends only under a current lease. Confined to the event loop that owns the
 * upstream's connections.
 */
public final class UpstreamDispatcher {
  /**
   * The longest queue in multiples of the limit. Requests that wait for a slot or lease to move
   * arrive all at once; with a factor of 4 a planned drain at a load of a few percent overflowed.
   */
  public static final int DEFAULT_QUEUE_FACTOR = 16;

  private static final Duration RETRY_AFTER_LEASE_CHANGE = Duration.ofMillis(250);
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(10);

  private final UpstreamId upstream;
  private final HostId self;
  private final SlowStartLimiter limiter;
  private final RequestQueue queue;
  private final RunningWork running = new RunningWork();
  private final LeaseClock lease = new LeaseClock();
  private final LoadMeter load;

  /**
   * Creates a dispatcher without a lease.
   *
   * @param upstream the upstream
   * @param self the host of this daemon
   * @param limit the number of requests that the upstream executes at once, at least 1
   * @param nowNanos the time
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
   * @param queueFactor the longest queue, in multiples of the limit
   * @param nowNanos the time
   */
  public UpstreamDispatcher(
      UpstreamId upstream, HostId self, int limit, int queueFactor, long nowNanos) {
    this.upstream = upstream;
    this.self = self;
    this.limiter = new SlowStartLimiter(upstream, limit);
    this.queue = new RequestQueue(limit, queueFactor);
    this.load = new LoadMeter(nowNanos);
  }

  /**
   * Takes a request.
   *
   * @param attempt the attempt, unique within the daemon
   * @param request the request; its deadline counts from now
   * @param slot the slot of the key, or -1
   * @param epoch the epoch of the owner, which the upstream checks
   * @param nowNanos the time
   * @return what to do; empty if the request waits
   */
  public ImmutableList<DispatchAction> offer(
      long attempt, RequestDescription request, int slot, Epoch epoch, long nowNanos) {
    load.offered(slot, request.key(), nowNanos);
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
    queue.add(WaitingRequest.of(attempt, request.deadline(), nowNanos));
    return sendNext(nowNanos);
  }

  /**
   * Takes the end of an attempt that was sent.
   *
   * <p>After {@link AttemptResult.Failed} the request may still run, so it keeps its place in the
   * limit; a later call with what the upstream said about the cancellation, or the request's
   * deadline, frees it.
   *
   * @param attempt the attempt
   * @param result how it ended
   * @param nowNanos the time
   * @return what to do; empty for an unknown attempt
   */
  public ImmutableList<DispatchAction> completed(
      long attempt, AttemptResult result, long nowNanos) {
    if (!running.contains(attempt)) {
      return ImmutableList.of();
    }
    boolean awaited = running.isAwaited(attempt);
    ImmutableList<DispatchAction> own =
        switch (result) {
          case AttemptResult.Answered answered -> answered(attempt, answered, awaited, nowNanos);
          case AttemptResult.Shed shed -> ended(attempt, limiter.shed(nowNanos), nowNanos);
          case AttemptResult.Refused refused -> refused(attempt, refused.code(), nowNanos);
          case AttemptResult.Stopped stopped -> ended(attempt, ImmutableList.of(), nowNanos);
          case AttemptResult.Failed failed -> failed(attempt, failed.code(), awaited);
        };
    return concat(own, sendNext(nowNanos));
  }

  /**
   * Takes the news that the caller of an attempt no longer waits.
   *
   * @param attempt the attempt
   * @param nowNanos the time
   * @return {@link CancelAtUpstream} if it was sent, else empty
   */
  public ImmutableList<DispatchAction> cancelled(long attempt, long nowNanos) {
    if (queue.remove(attempt)) {
      return sendNext(nowNanos);
    }
    return running.isAwaited(attempt)
        ? ImmutableList.of(new CancelAtUpstream(attempt))
        : ImmutableList.of();
  }

  /**
   * Takes a new or renewed dispatch lease.
   *
   * @param granted the lease; one of another host means that this daemon's lease is lost
   * @param nowNanos the time
   * @return what to do
   */
  public ImmutableList<DispatchAction> leaseGranted(DispatchLease granted, long nowNanos) {
    if (!granted.holder().equals(self)) {
      return leaseLost(nowNanos);
    }
    lease.granted(granted, nowNanos);
    return sendNext(nowNanos);
  }

  /**
   * Takes the news that another daemon dispatches from now on.
   *
   * @param nowNanos the time
   * @return a refusal for each waiting request; sent ones continue
   */
  public ImmutableList<DispatchAction> leaseLost(long nowNanos) {
    lease.lost();
    return queue.removeAll().stream()
        .map(
            r -> refusal(r.attempt(), RefusalCode.DISPATCHER_UNREACHABLE, RETRY_AFTER_LEASE_CHANGE))
        .collect(toImmutableList());
  }

  /**
   * Takes the news that the coordinator has taken the lease back. From then on {@link #load} states
   * what this dispatcher left behind, if it knows that.
   *
   * @param epoch the epoch of the lease, which is not taken again
   * @param nowNanos the time
   * @return a refusal for each waiting request; sent ones continue
   */
  public ImmutableList<DispatchAction> leaseGivenUp(Epoch epoch, long nowNanos) {
    lease.givenUp(epoch);
    return leaseLost(nowNanos);
  }

  /**
   * Takes the instance that the upstream named in a reply to a probe or a grant.
   *
   * @param instance the run of its process
   * @param nowNanos the time
   * @return what to do
   */
  public ImmutableList<DispatchAction> instanceSeen(String instance, long nowNanos) {
    return concat(noteInstance(instance, nowNanos), sendNext(nowNanos));
  }

  /**
   * Takes the number of requests that the upstream executes for earlier dispatchers.
   *
   * @param requests the requests that name another dispatcher
   * @param askedNanos the time at which the upstream was asked
   * @param nowNanos the time
   * @return what to do
   */
  public ImmutableList<DispatchAction> earlierRequestsReported(
      int requests, long askedNanos, long nowNanos) {
    lease.reportedEarlier(requests, running.isIdleSince(askedNanos), askedNanos);
    return sendNext(nowNanos);
  }

  /**
   * Tells whether the upstream should be asked for requests of earlier dispatchers.
   *
   * @param nowNanos the time
   * @return false once it is known that none are left
   */
  public boolean mayHaveEarlierRequests(long nowNanos) {
    return lease.knownEarlierRequests(nowNanos).orElse(1) > 0;
  }

  /**
   * Looks for expired deadlines and leases.
   *
   * @param nowNanos the time
   * @return what to do
   */
  public ImmutableList<DispatchAction> tick(long nowNanos) {
    running.expire(nowNanos);
    return concat(refuseExpired(nowNanos), sendNext(nowNanos));
  }

  /**
   * Returns the load for the coordinator.
   *
   * @param nowNanos the time
   * @return the load as this dispatcher saw it
   */
  public UpstreamLoad load(long nowNanos) {
    return new UpstreamLoad(
        upstream,
        limiter.instance(),
        limiter.limit(),
        running.count(),
        queue.size(),
        load.slotLoads(nowNanos),
        load.keyLoads(nowNanos),
        ReleaseStatement.of(lease, running, nowNanos));
  }

  private ImmutableList<DispatchAction> refuseExpired(long nowNanos) {
    boolean hasLease = lease.isCurrent(nowNanos);
    return queue.removeExpired(nowNanos, hasLease).stream()
        .map(r -> refusal(r.attempt(), codeOfExpired(r, nowNanos), retryAfter()))
        .collect(toImmutableList());
  }

  private static RefusalCode codeOfExpired(WaitingRequest request, long nowNanos) {
    return request.deadlineNanos() <= nowNanos
        ? RefusalCode.DEADLINE_PASSED
        : RefusalCode.DISPATCHER_UNREACHABLE;
  }

  private ImmutableList<DispatchAction> answered(
      long attempt, AttemptResult.Answered answer, boolean awaited, long nowNanos) {
    running.ended(attempt, nowNanos);
    ImmutableList<DispatchAction> instance = noteInstance(answer.instance(), nowNanos);
    return awaited
        ? concat(instance, reports(limiter.answered(answer.latency(), nowNanos)))
        : instance;
  }

  private ImmutableList<DispatchAction> ended(
      long attempt, List<DecisionEvent> events, long nowNanos) {
    running.ended(attempt, nowNanos);
    return reports(events);
  }

  /** A refused connection hints at a restart, after which the upstream is cold. */
  private ImmutableList<DispatchAction> refused(long attempt, RefusalCode code, long nowNanos) {
    if (code == RefusalCode.CONNECT_FAILED) {
      limiter.connectionLost();
    }
    return ended(attempt, ImmutableList.of(), nowNanos);
  }

  private ImmutableList<DispatchAction> failed(long attempt, RefusalCode code, boolean awaited) {
    if (!awaited) {
      return ImmutableList.of();
    }
    running.becameUncertain(attempt);
    if (code == RefusalCode.CONNECTION_LOST) {
      limiter.connectionLost();
    }
    return ImmutableList.of(new CancelAtUpstream(attempt));
  }

  private ImmutableList<DispatchAction> noteInstance(String instance, long nowNanos) {
    String before = limiter.instance();
    ImmutableList<DispatchAction> reports = reports(limiter.instanceSeen(instance, nowNanos));
    if (!before.isEmpty() && !before.equals(limiter.instance())) {
      running.instanceChanged(nowNanos);
    }
    return reports;
  }

  private ImmutableList<DispatchAction> sendNext(long nowNanos) {
    var actions = ImmutableList.<DispatchAction>builder();
    while (maySend(nowNanos)) {
      Optional<WaitingRequest> next = queue.poll();
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
        && running.count() + lease.earlierRequests(limit, nowNanos) < limit;
  }

  private DispatchAction sendOrRefuse(WaitingRequest request, long nowNanos) {
    Duration remaining = request.remaining(nowNanos);
    if (remaining.isZero()) {
      return refusal(request.attempt(), RefusalCode.DEADLINE_PASSED, retryAfter());
    }
    Duration startBefore =
        remaining.compareTo(LeaseClock.LONGEST_START_BEFORE) < 0
            ? remaining
            : LeaseClock.LONGEST_START_BEFORE;
    running.sent(request.attempt(), nowNanos + startBefore.toNanos(), request.deadlineNanos());
    return new Send(request.attempt(), startBefore, remaining);
  }

  /**
   * Returns the time until an answer to a new request, if all before it take as long as usual.
   *
   * <p>Zero if the upstream has nothing to do, so that a wrong estimate corrects itself.
   */
  private Duration expectedWait(long nowNanos) {
    int limit = limiter.limit();
    int busy = running.count() + lease.earlierRequests(limit, nowNanos);
    if (busy + queue.size() == 0) {
      return Duration.ZERO;
    }
    int ahead = Math.max(0, busy + queue.size() - limit + 1);
    int rounds = 1 + ahead / limit;
    return limiter.usualLatency().multipliedBy(rounds);
  }

  private Duration retryAfter() {
    Duration drained =
        limiter.usualLatency().multipliedBy(1 + queue.size()).dividedBy(limiter.limit());
    return drained.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : drained;
  }

  private static ImmutableList<DispatchAction> refuse(
      long attempt, RefusalCode code, Duration retryAfter) {
    return ImmutableList.of(refusal(attempt, code, retryAfter));
  }

  private static DispatchAction refusal(long attempt, RefusalCode code, Duration retryAfter) {
    return new Refuse(attempt, new Outcome.NotRun(code, retryAfter));
  }

  private static ImmutableList<DispatchAction> reports(List<DecisionEvent> events) {
    return events.stream().map(Report::new).collect(toImmutableList());
  }

  private static ImmutableList<DispatchAction> concat(
      ImmutableList<DispatchAction> first, ImmutableList<DispatchAction> second) {
    return ImmutableList.<DispatchAction>builder().addAll(first).addAll(second).build();
  }
}
