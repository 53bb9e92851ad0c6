package org.catkinlift.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Decides which of one daemon's requests for one upstream wait, which are rejected and which goes
 * next. Confined to one thread.
 *
 * <p>Load pattern: several daemons with more requests for an upstream than it can answer in time,
 * while it is busy with the requests of others, slowed or cold.
 *
 * @param <T> the requests
 */
public final class UpstreamQueue<T> {
  /** A load report says nothing about a moment so much later. */
  private static final Duration MAX_REPORT_AGE = Duration.ofMillis(400);

  private static final double MIN_SLOWDOWN = 0.5;

  private final int slots;
  private final DeadlineQueue<T> queue = new DeadlineQueue<>();
  private final ConcurrencyLimit limit;

  private int inFlight;
  private ReportedLoad lastReport;
  private long lastReportNanos;
  private Optional<ColdStartLimiter> coldLimiter = Optional.empty();
  private long coldUntilNanos;

  /**
   * Creates a queue.
   *
   * @param slots the requests that the upstream executes at once
   * @param nowNanos the time
   */
  public UpstreamQueue(int slots, long nowNanos) {
    this.slots = Math.max(1, slots);
    this.limit = new ConcurrencyLimit(slots);
    this.lastReport = new ReportedLoad(0, 0, slots, 1);
    this.lastReportNanos = nowNanos - MAX_REPORT_AGE.toNanos();
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public int waiting() {
    return queue.size();
  }

  /**
   * Returns the number of requests that were taken and have not ended.
   *
   * @return the number
   */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Takes that the upstream is cold.
   *
   * @param perSecond the requests/s that it bears from all daemons
   * @param daemons the number of daemons
   * @param initialTokens a random number from 0 to 1
   * @param untilNanos when it will be warm
   * @param nowNanos the time
   */
  public void markCold(
      double perSecond, int daemons, double initialTokens, long untilNanos, long nowNanos) {
    coldUntilNanos = untilNanos;
    if (coldLimiter.isEmpty()) {
      coldLimiter = Optional.of(new ColdStartLimiter(perSecond, daemons, initialTokens, nowNanos));
    }
  }

  private Optional<ColdStartLimiter> coldLimiter(long nowNanos) {
    if (coldLimiter.isPresent() && nowNanos >= coldUntilNanos) {
      coldLimiter = Optional.empty();
    }
    return coldLimiter;
  }

  /**
   * Tells whether the upstream is cold.
   *
   * @param nowNanos the time
   * @return true if its rate of requests is limited
   */
  public boolean isCold(long nowNanos) {
    return coldLimiter(nowNanos).isPresent();
  }

  /**
   * Decides about a new request; if it is admitted, it waits here.
   *
   * @param request the request
   * @param urgency when it must be answered
   * @param typicalServiceNanos how long an upstream of this service usually works
   * @param jitter a random number from 0 to 1
   * @param nowNanos the time
   * @return the decision
   */
  public AdmissionRule.Decision offer(
      T request, Urgency urgency, long typicalServiceNanos, double jitter, long nowNanos) {
    long serviceNanos = serviceNanos(typicalServiceNanos, nowNanos);
    int ahead = queue.countAhead(urgency, nowNanos, serviceNanos);
    AdmissionRule.Decision decision =
        AdmissionRule.decide(
            urgency,
            waitNanos(ahead, serviceNanos, nowNanos),
            ahead,
            limit.value(),
            serviceNanos,
            nowNanos,
            jitter);
    if (decision instanceof AdmissionRule.Decision.Admit) {
      queue.add(request, urgency);
    }
    return decision;
  }

  /**
   * Returns how long a request that comes now would wait until the upstream works on it.
   *
   * @param urgency when it must be answered
   * @param typicalServiceNanos how long an upstream of this service usually works
   * @param nowNanos the time
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
    long upstreamWait = upstreamWaitNanos(serviceNanos, nowNanos);
    if (inFlight < limit.value() && ahead == 0) {
      return upstreamWait;
    }
    return upstreamWait + (ahead + 1) * (serviceNanos + upstreamWait) / limit.value();
  }

  private long serviceNanos(long typicalServiceNanos, long nowNanos) {
    double slowdown = isReportFresh(nowNanos) ? Math.max(MIN_SLOWDOWN, lastReport.slowdown()) : 1;
    return (long) (typicalServiceNanos * slowdown);
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
   * Returns how long a request sent now is expected to take, for comparing upstreams.
   *
   * @param typicalServiceNanos how long an upstream of this service usually works
   * @param nowNanos the time
   * @return nanoseconds
   */
  public long expectedNanos(long typicalServiceNanos, long nowNanos) {
    long serviceNanos = serviceNanos(typicalServiceNanos, nowNanos);
    long own = (long) (serviceNanos * (queue.size() + inFlight) / (double) slots);
    return serviceNanos + Math.max(own, upstreamWaitNanos(serviceNanos, nowNanos));
  }

  /**
   * Takes the request that goes next, if the upstream may have one more.
   *
   * @param typicalServiceNanos how long an upstream of this service usually works
   * @param nowNanos the time
   * @return the request, which counts as being at the upstream until {@link #requestEnded} is
   *     called
   */
  public Optional<T> takeNext(long typicalServiceNanos, long nowNanos) {
    if (queue.size() == 0 || inFlight >= limit.value()) {
      return Optional.empty();
    }
    Optional<ColdStartLimiter> limiter = coldLimiter(nowNanos);
    if (limiter.isPresent() && !limiter.get().tryAcquire(nowNanos)) {
      return Optional.empty();
    }
    inFlight++;
    return queue.takeNext(nowNanos, serviceNanos(typicalServiceNanos, nowNanos));
  }

  /**
   * Returns how long to wait before the next request can be taken although nothing ends, because
   * the upstream is cold.
   *
   * @param nowNanos the time
   * @return nanoseconds; 0 if no request waits for that
   */
  public long nanosUntilNext(long nowNanos) {
    if (queue.size() == 0 || inFlight >= limit.value()) {
      return 0;
    }
    return coldLimiter(nowNanos).map(p -> p.nanosUntilNext(nowNanos)).orElse(0L);
  }

  /** Takes that a request has ended that was at the upstream. */
  public void requestEnded() {
    inFlight--;
  }

  /**
   * Takes the load that the upstream stated in an answer.
   *
   * @param reported the load
   * @param nowNanos the time
   */
  public void loadReported(ReportedLoad reported, long nowNanos) {
    lastReport = reported;
    lastReportNanos = nowNanos;
    limit.loadReported(reported);
  }

  /** Takes that the upstream turned a request away for lack of room. */
  public void upstreamFull() {
    limit.upstreamFull();
  }

  /**
   * Tells whether requests wait at the upstream, as far as its last answer said.
   *
   * @param nowNanos the time
   * @return true if some did
   */
  public boolean hasUpstreamQueue(long nowNanos) {
    return isReportFresh(nowNanos) && lastReport.waiting() > 0;
  }

  /**
   * Removes a request that waits no longer.
   *
   * @param request the request
   * @return false if it did not wait
   */
  public boolean remove(T request) {
    return queue.remove(request);
  }

  /**
   * Removes all waiting requests.
   *
   * @return the requests in the order in which they came
   */
  public List<T> takeAll() {
    return queue.takeAll();
  }
}
