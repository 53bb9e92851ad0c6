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
  private static final Duration REPORT_AGE = Duration.ofMillis(400);

  private static final double LEAST_SLOWNESS = 0.5;

  private final int slots;
  private final WaitingLine<T> line = new WaitingLine<>();
  private final ConcurrencyLimit limit;

  private int atUpstream;
  private ReportedLoad load;
  private long loadNanos;
  private Optional<ColdPacer> pacer = Optional.empty();
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
    this.load = new ReportedLoad(0, 0, slots, 1);
    this.loadNanos = nowNanos - REPORT_AGE.toNanos();
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public int waiting() {
    return line.size();
  }

  /**
   * Returns the number of requests that were taken and have not ended.
   *
   * @return the number
   */
  public int atUpstream() {
    return atUpstream;
  }

  /**
   * Takes that the upstream is cold.
   *
   * @param perSecond the requests/s that it bears from all daemons
   * @param daemons the number of daemons
   * @param firstToken a random number from 0 to 1
   * @param untilNanos when it will be warm
   * @param nowNanos the time
   */
  public void cold(
      double perSecond, int daemons, double firstToken, long untilNanos, long nowNanos) {
    coldUntilNanos = untilNanos;
    if (pacer.isEmpty()) {
      pacer = Optional.of(new ColdPacer(perSecond, daemons, firstToken, nowNanos));
    }
  }

  private Optional<ColdPacer> pacer(long nowNanos) {
    if (pacer.isPresent() && nowNanos >= coldUntilNanos) {
      pacer = Optional.empty();
    }
    return pacer;
  }

  /**
   * Tells whether the upstream is cold.
   *
   * @param nowNanos the time
   * @return true if its rate of requests is limited
   */
  public boolean isCold(long nowNanos) {
    return pacer(nowNanos).isPresent();
  }

  /**
   * Decides about a new request; if it is admitted, it waits here.
   *
   * @param request the request
   * @param urgency when it must be answered
   * @param usualNanos how long an upstream of this service usually works
   * @param spread a random number from 0 to 1
   * @param nowNanos the time
   * @return the decision
   */
  public AdmissionRule.Decision offer(
      T request, Urgency urgency, long usualNanos, double spread, long nowNanos) {
    long service = serviceNanos(usualNanos, nowNanos);
    int before = line.countBefore(urgency, nowNanos, service);
    AdmissionRule.Decision decision =
        AdmissionRule.decide(
            urgency,
            waitNanos(before, service, nowNanos),
            before,
            limit.value(),
            service,
            nowNanos,
            spread);
    if (decision instanceof AdmissionRule.Decision.Admit) {
      line.add(request, urgency);
    }
    return decision;
  }

  /**
   * Returns how long a request that comes now would wait until the upstream works on it.
   *
   * @param urgency when it must be answered
   * @param usualNanos how long an upstream of this service usually works
   * @param nowNanos the time
   * @return nanoseconds
   */
  public long waitNanos(Urgency urgency, long usualNanos, long nowNanos) {
    long service = serviceNanos(usualNanos, nowNanos);
    return waitNanos(line.countBefore(urgency, nowNanos, service), service, nowNanos);
  }

  private long waitNanos(int before, long service, long nowNanos) {
    Optional<ColdPacer> cold = pacer(nowNanos);
    if (cold.isPresent()) {
      return cold.get().nanosToNext(nowNanos) + before * cold.get().nanosBetween();
    }
    long atOnce = upstreamWaitNanos(service, nowNanos);
    if (atUpstream < limit.value() && before == 0) {
      return atOnce;
    }
    return atOnce + (before + 1) * (service + atOnce) / limit.value();
  }

  private long serviceNanos(long usualNanos, long nowNanos) {
    double slowness = isLoadFresh(nowNanos) ? Math.max(LEAST_SLOWNESS, load.slowness()) : 1;
    return (long) (usualNanos * slowness);
  }

  private long upstreamWaitNanos(long service, long nowNanos) {
    return isLoadFresh(nowNanos) ? (long) (load.waiting() * service / (double) slots) : 0;
  }

  private boolean isLoadFresh(long nowNanos) {
    return nowNanos - loadNanos < REPORT_AGE.toNanos();
  }

  /**
   * Returns how long a request sent now is expected to take, for comparing upstreams.
   *
   * @param usualNanos how long an upstream of this service usually works
   * @param nowNanos the time
   * @return nanoseconds
   */
  public long expectedNanos(long usualNanos, long nowNanos) {
    long service = serviceNanos(usualNanos, nowNanos);
    long own = (long) (service * (line.size() + atUpstream) / (double) slots);
    return service + Math.max(own, upstreamWaitNanos(service, nowNanos));
  }

  /**
   * Takes the request that goes next, if the upstream may have one more.
   *
   * @param usualNanos how long an upstream of this service usually works
   * @param nowNanos the time
   * @return the request, which counts as being at the upstream until {@link #ended} is called
   */
  public Optional<T> takeNext(long usualNanos, long nowNanos) {
    if (line.size() == 0 || atUpstream >= limit.value()) {
      return Optional.empty();
    }
    Optional<ColdPacer> cold = pacer(nowNanos);
    if (cold.isPresent() && !cold.get().tryTake(nowNanos)) {
      return Optional.empty();
    }
    atUpstream++;
    return line.takeNext(nowNanos, serviceNanos(usualNanos, nowNanos));
  }

  /**
   * Returns how long to wait before the next request can be taken although nothing ends, because
   * the upstream is cold.
   *
   * @param nowNanos the time
   * @return nanoseconds; 0 if no request waits for that
   */
  public long nanosToNext(long nowNanos) {
    if (line.size() == 0 || atUpstream >= limit.value()) {
      return 0;
    }
    return pacer(nowNanos).map(p -> p.nanosToNext(nowNanos)).orElse(0L);
  }

  /** Takes that a request has ended that was at the upstream. */
  public void ended() {
    atUpstream--;
  }

  /**
   * Takes the load that the upstream stated in an answer.
   *
   * @param reported the load
   * @param nowNanos the time
   */
  public void reported(ReportedLoad reported, long nowNanos) {
    load = reported;
    loadNanos = nowNanos;
    limit.reported(reported);
  }

  /** Takes that the upstream turned a request away for lack of room. */
  public void full() {
    limit.full();
  }

  /**
   * Tells whether requests wait at the upstream, as far as its last answer said.
   *
   * @param nowNanos the time
   * @return true if some did
   */
  public boolean hasUpstreamQueue(long nowNanos) {
    return isLoadFresh(nowNanos) && load.waiting() > 0;
  }

  /**
   * Removes a request that waits no longer.
   *
   * @param request the request
   * @return false if it did not wait
   */
  public boolean remove(T request) {
    return line.remove(request);
  }

  /**
   * Removes all waiting requests.
   *
   * @return the requests in the order in which they came
   */
  public List<T> takeAll() {
    return line.takeAll();
  }
}
