package org.catkinlift.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Queues the requests of one daemon for one upstream: decides which may wait, which are rejected
 * and which is sent next. Confined to one thread.
 *
 * <p>Load pattern: several daemons with more requests for an upstream than it can answer in time,
 * while it is busy with the requests of others, slowed or cold.
 *
 * @param <T> the type of requests
 */
public final class UpstreamQueue<T> {
  /** The age above which a load report is ignored. */
  private static final Duration MAX_REPORT_AGE = Duration.ofMillis(400);

  /**
   * The part of its service time by which a request is expected to last longer at an upstream whose
   * slots are all taken. Spreads requests before the slots are full.
   */
  private static final double FULL_LOAD_SLOWDOWN = 0.3;

  /**
   * The expected requests per slot up to which the upstream counts as having a free slot. Above 1,
   * because reports are late and a bound of 1 leaves slots idle during a burst.
   */
  private static final double MAX_SURPLUS_OCCUPANCY = 1.1;

  /**
   * A response that takes longer than this multiple of the usual time lowers the rate of a ramp.
   */
  private static final double SLOW_RESPONSE_FACTOR = 2;

  private static final double NORMAL_SLOWDOWN = 1;
  private static final double MIN_SLOWDOWN = 0.5;

  private final int slots;
  private final DeadlineQueue<T> queue = new DeadlineQueue<>();
  private final ConcurrencyLimit limit;
  private final LoadForecast slowdown;
  private final LoadForecast busySlots;
  private final UpstreamSpeedEstimate speed;
  private final FailureRate failureRate;

  private int inFlight;
  private int inFlightAtReport;
  private ReportedLoad lastReport;
  private long lastReportNanos;
  private Optional<ColdStartLimiter> coldLimiter = Optional.empty();
  private long coldUntilNanos;
  private Optional<RampUp> rampUp = Optional.empty();

  /**
   * Creates a queue.
   *
   * @param slots the number of requests that the upstream executes concurrently
   * @param nowNanos the current time
   */
  public UpstreamQueue(int slots, long nowNanos) {
    this.slots = Math.max(1, slots);
    this.limit = new ConcurrencyLimit(slots);
    this.slowdown = new LoadForecast(NORMAL_SLOWDOWN, nowNanos);
    this.busySlots = new LoadForecast(0, nowNanos);
    this.speed = new UpstreamSpeedEstimate(nowNanos);
    this.failureRate = new FailureRate(nowNanos);
    this.lastReport = new ReportedLoad(0, 0, slots, 1);
    this.lastReportNanos = nowNanos - MAX_REPORT_AGE.toNanos();
  }

  /** Returns the number of waiting requests. */
  public int waiting() {
    return queue.size();
  }

  /** Returns the number of requests that were taken and have not ended. */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Records that the upstream is cold.
   *
   * @param perSecond the requests/s that it can sustain from all daemons together
   * @param daemons the number of daemons
   * @param initialTokens a random number from 0 to 1
   * @param untilNanos when the upstream will be warm
   * @param nowNanos the current time
   */
  public void markCold(
      double perSecond, int daemons, double initialTokens, long untilNanos, long nowNanos) {
    coldUntilNanos = untilNanos;
    if (coldLimiter.isEmpty()) {
      coldLimiter = Optional.of(new ColdStartLimiter(perSecond, daemons, initialTokens, nowNanos));
    }
  }

  /**
   * Records that the upstream has just started or recovered.
   *
   * @param typicalServiceNanos the typical service time of the upstreams of this service
   * @param daemons the number of daemons
   * @param initialTokens a random number from 0 to 1
   * @param nowNanos the current time
   */
  public void startRampUp(
      long typicalServiceNanos, int daemons, double initialTokens, long nowNanos) {
    rampUp = Optional.of(new RampUp(slots, typicalServiceNanos, daemons, initialTokens, nowNanos));
  }

  private Optional<RampUp> rampUp(long nowNanos) {
    if (rampUp.isPresent() && rampUp.get().isComplete(nowNanos)) {
      rampUp = Optional.empty();
    }
    return rampUp;
  }

  /**
   * Returns whether the upstream may have a request now, as far as a limit on its rate is
   * concerned.
   *
   * @param nowNanos the current time
   */
  public boolean isWithinRate(long nowNanos) {
    return !isCold(nowNanos)
        && rampUp(nowNanos).map(r -> r.nanosUntilNext(nowNanos) == 0).orElse(true);
  }

  private Optional<ColdStartLimiter> coldLimiter(long nowNanos) {
    if (coldLimiter.isPresent() && nowNanos >= coldUntilNanos) {
      coldLimiter = Optional.empty();
    }
    return coldLimiter;
  }

  /**
   * Returns whether the upstream is cold, so that the rate of requests to it is limited.
   *
   * @param nowNanos the current time
   */
  public boolean isCold(long nowNanos) {
    return coldLimiter(nowNanos).isPresent();
  }

  /**
   * Decides about a new request, and queues it if it is admitted. A request above the usual rate of
   * its tenant is rejected unless a slot is expected to be free, because the upstream executes
   * requests in the order of their arrival.
   *
   * @param request the request
   * @param urgency the priority, target and deadline of the request
   * @param typicalServiceNanos the typical service time of the upstreams of this service
   * @param jitter a random number from 0 to 1
   * @param nowNanos the current time
   * @return the decision
   */
  public AdmissionPolicy.Decision offer(
      T request, Urgency urgency, long typicalServiceNanos, double jitter, long nowNanos) {
    long serviceNanos = serviceNanos(typicalServiceNanos, nowNanos);
    int ahead = queue.countAhead(urgency, nowNanos, serviceNanos);
    long waitNanos = waitNanos(ahead, serviceNanos, nowNanos);
    if (urgency.rank().isAboveUsualRate() && !hasFreeSlot(nowNanos)) {
      return AdmissionPolicy.reject(urgency, waitNanos, nowNanos, jitter);
    }
    AdmissionPolicy.Decision decision =
        AdmissionPolicy.decide(
            urgency, waitNanos, ahead, limit.value(), serviceNanos, nowNanos, jitter);
    if (decision instanceof AdmissionPolicy.Decision.Admit) {
      queue.add(request, urgency);
    }
    return decision;
  }

  /**
   * Returns how long a request that arrives now would wait until the upstream starts to execute it.
   *
   * @param urgency the priority, target and deadline of the request
   * @param typicalServiceNanos the typical service time of the upstreams of this service
   * @param nowNanos the current time
   * @return nanoseconds
   */
  public long waitNanos(Urgency urgency, long typicalServiceNanos, long nowNanos) {
    long serviceNanos = serviceNanos(typicalServiceNanos, nowNanos);
    return waitNanos(queue.countAhead(urgency, nowNanos, serviceNanos), serviceNanos, nowNanos);
  }

  private long waitNanos(int ahead, long serviceNanos, long nowNanos) {
    Optional<ColdStartLimiter> limiter = coldLimiter(nowNanos);
    if (limiter.isPresent()) {
      return limiter.get().nanosUntilNext(nowNanos) + ahead * limiter.get().intervalNanos();
    }
    Optional<RampUp> ramp = rampUp(nowNanos);
    if (ramp.isPresent()) {
      return ramp.get().nanosUntilNext(nowNanos) + ahead * ramp.get().intervalNanos();
    }
    long upstreamWait = upstreamWaitNanos(serviceNanos, nowNanos);
    if (inFlight < limit.value() && ahead == 0) {
      return upstreamWait;
    }
    return upstreamWait + (ahead + 1) * (serviceNanos + upstreamWait) / limit.value();
  }

  /**
   * Returns the expected service time at the upstream, without waiting.
   *
   * @param typicalServiceNanos the typical service time of the upstreams of this service
   * @param nowNanos the current time
   * @return nanoseconds
   */
  public long serviceNanos(long typicalServiceNanos, long nowNanos) {
    // The typical service time includes the usual slowdown.
    double relativeSlowdown = slowdown.expectedRelativeToMean(nowNanos);
    return (long) (typicalServiceNanos * speed.ratio(nowNanos) * relativeSlowdown);
  }

  private long upstreamWaitNanos(long serviceNanos, long nowNanos) {
    return isReportFresh(nowNanos)
        ? (long) (lastReport.waiting() * serviceNanos / (double) slots)
        : 0;
  }

  private boolean isReportFresh(long nowNanos) {
    return nowNanos - lastReportNanos < MAX_REPORT_AGE.toNanos();
  }

  /**
   * Returns the expected latency of a request sent now, for comparing upstreams. Includes the
   * attempts that are expected to fail.
   *
   * @param typicalServiceNanos the typical service time of the upstreams of this service
   * @param nowNanos the current time
   * @return nanoseconds
   */
  public long expectedNanos(long typicalServiceNanos, long nowNanos) {
    long serviceNanos = serviceNanos(typicalServiceNanos, nowNanos);
    double busy = expectedBusySlots(nowNanos);
    double waiting = Math.max(0, busy + queue.size() + 1 - slots);
    double load = Math.min(1, busy / slots);
    double latency = serviceNanos * (1 + load * FULL_LOAD_SLOWDOWN + waiting / slots);
    return (long) (latency / (1 - failureRate.value(nowNanos)));
  }

  private boolean hasFreeSlot(long nowNanos) {
    return expectedBusySlots(nowNanos) + queue.size() + 1 <= slots * MAX_SURPLUS_OCCUPANCY;
  }

  /** Returns the expected number of requests of all daemons at the upstream. */
  private double expectedBusySlots(long nowNanos) {
    int sentSinceReport = inFlight - inFlightAtReport;
    return Math.max(inFlight, busySlots.expected(nowNanos) + sentSinceReport);
  }

  /**
   * Takes the next request, if the upstream may have one more.
   *
   * @param typicalServiceNanos the typical service time of the upstreams of this service
   * @param nowNanos the current time
   * @return the request, which counts as in flight until {@link #requestEnded} is called
   */
  public Optional<T> takeNext(long typicalServiceNanos, long nowNanos) {
    if (queue.size() == 0 || inFlight >= limit.value()) {
      return Optional.empty();
    }
    Optional<ColdStartLimiter> limiter = coldLimiter(nowNanos);
    if (limiter.isPresent() && !limiter.get().tryAcquire(nowNanos)) {
      return Optional.empty();
    }
    Optional<RampUp> ramp = rampUp(nowNanos);
    if (ramp.isPresent() && !ramp.get().tryAcquire(nowNanos)) {
      return Optional.empty();
    }
    inFlight++;
    return queue.takeNext(nowNanos, serviceNanos(typicalServiceNanos, nowNanos));
  }

  /**
   * Returns how long to wait, because the upstream is cold, until the next request can be taken
   * even though none ends.
   *
   * @param nowNanos the current time
   * @return nanoseconds; 0 if no request waits for that
   */
  public long nanosUntilNext(long nowNanos) {
    if (queue.size() == 0 || inFlight >= limit.value()) {
      return 0;
    }
    return coldLimiter(nowNanos)
        .map(limiter -> limiter.nanosUntilNext(nowNanos))
        .or(() -> rampUp(nowNanos).map(r -> r.nanosUntilNext(nowNanos)))
        .orElse(0L);
  }

  /** Records that a request in flight has ended. */
  public void requestEnded() {
    inFlight--;
  }

  /**
   * Records the load that the upstream reported in an answer.
   *
   * @param reported the load
   * @param nowNanos the current time
   */
  public void loadReported(ReportedLoad reported, long nowNanos) {
    lastReport = reported;
    lastReportNanos = nowNanos;
    // The request that was answered with the report still counts as in flight.
    inFlightAtReport = inFlight - 1;
    slowdown.reported(Math.max(MIN_SLOWDOWN, reported.slowdown()), nowNanos);
    busySlots.reported(reported.running() + reported.waiting(), nowNanos);
    limit.loadReported(reported);
    if (reported.waiting() >= slots) {
      rampUp.ifPresent(r -> r.decrease(nowNanos));
    }
  }

  /**
   * Records the service time of a request whose response carried the last load report.
   *
   * @param measuredNanos the time from sending the request to the end of the response
   * @param expectedNanos the typical service time of such requests at all upstreams of the service
   * @param nowNanos the current time
   */
  public void responseMeasured(long measuredNanos, long expectedNanos, long nowNanos) {
    speed.addSample(measuredNanos / (expectedNanos * slowdown.lastRelativeToMean()), nowNanos);
    if (measuredNanos > SLOW_RESPONSE_FACTOR * expectedNanos) {
      rampUp.ifPresent(r -> r.decrease(nowNanos));
    }
  }

  /**
   * Records that a request succeeded.
   *
   * @param nowNanos the current time
   */
  public void requestSucceeded(long nowNanos) {
    failureRate.succeeded(nowNanos);
  }

  /**
   * Records that the upstream failed or rejected a request.
   *
   * @param nowNanos the current time
   */
  public void requestFailed(long nowNanos) {
    failureRate.failed(nowNanos);
    rampUp.ifPresent(r -> r.decrease(nowNanos));
  }

  /** Records that the upstream rejected a request because it had no capacity. */
  public void upstreamFull() {
    limit.upstreamFull();
  }

  /**
   * Returns whether requests were waiting at the upstream according to its last answer.
   *
   * @param nowNanos the current time
   * @return false if none were, or if the last answer is too old
   */
  public boolean hasUpstreamQueue(long nowNanos) {
    return isReportFresh(nowNanos) && lastReport.waiting() > 0;
  }

  /**
   * Removes a request that no longer waits.
   *
   * @param request the request
   * @return false if it was not waiting
   */
  public boolean remove(T request) {
    return queue.remove(request);
  }

  /**
   * Removes all waiting requests.
   *
   * @return the requests in order of arrival
   */
  public List<T> takeAll() {
    return queue.takeAll();
  }
}
