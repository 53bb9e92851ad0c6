package org.catkinlift.bench.traffic;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.catkinlift.model.Outcome;
import org.catkinlift.timer.TimerService;

/**
 * Open-loop load generator: sends requests at random times that do not depend on the answers, and
 * records their outcomes and latencies.
 */
final class FakeCallers {
  private static final Duration CALLER_HOP_LATENCY = Duration.ofMillis(1);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final TimerService timers;
  private final InvariantChecker invariantChecker;
  private final RequestPath path;
  private final Workload workload;
  private final SplittableRandom arrivalRandom;
  private final Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);
  private Predicate<CallerRequest> isMeasured = request -> false;
  private double ratePerSecond;
  private long sent;
  private long completed;
  private long answered;
  private boolean stopped;

  FakeCallers(
      TimerService timers, InvariantChecker invariantChecker, RequestPath path, Workload workload) {
    this.timers = timers;
    this.invariantChecker = invariantChecker;
    this.path = path;
    this.workload = workload;
    this.arrivalRandom = new SplittableRandom(workload.seed());
  }

  void start(double requestsPerSecond) {
    ratePerSecond = requestsPerSecond;
    scheduleNext();
  }

  void changeRate(double requestsPerSecond) {
    ratePerSecond = requestsPerSecond;
  }

  /** Sets which of the requests sent from now on have their latency recorded. */
  void measure(Predicate<CallerRequest> selected) {
    isMeasured = selected;
  }

  /**
   * Returns the latencies in nanoseconds. A request that was not answered within its deadline is
   * recorded with the deadline.
   */
  Histogram latencies() {
    return latencies;
  }

  long sent() {
    return sent;
  }

  /** Returns the number of requests that were answered within their deadline. */
  long answered() {
    return answered;
  }

  /** Returns the number of requests whose caller has not received a reply. */
  long outstanding() {
    return sent - completed;
  }

  void stop() {
    stopped = true;
  }

  private void scheduleNext() {
    double seconds = arrivalRandom.nextExponential() / ratePerSecond;
    timers.after(Duration.ofNanos((long) (seconds * NANOS_PER_SECOND)), this::sendOne);
  }

  private void sendOne() {
    if (stopped) {
      return;
    }
    CallerRequest request = workload.request(sent++);
    long sentNanos = timers.nowNanos();
    boolean measured = isMeasured.test(request);
    timers.after(
        CALLER_HOP_LATENCY,
        () ->
            path.submit(
                request,
                reply ->
                    timers.after(
                        CALLER_HOP_LATENCY,
                        () -> handleReply(request, reply, sentNanos, measured))));
    scheduleNext();
  }

  private void handleReply(
      CallerRequest request, CallerReply reply, long sentNanos, boolean measured) {
    invariantChecker.recordReply(request, reply);
    completed++;
    long elapsed = timers.nowNanos() - sentNanos;
    long deadline = workload.deadline().toNanos();
    boolean answeredInTime = reply.outcome() instanceof Outcome.Answered && elapsed <= deadline;
    answered += answeredInTime ? 1 : 0;
    if (measured) {
      latencies.recordValue(answeredInTime ? elapsed : deadline);
    }
  }
}
