package org.catkinlift.bench.traffic;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.catkinlift.model.Outcome;
import org.catkinlift.timer.TimerService;

/** Sends requests at random times that do not depend on the answers; records how they end. */
final class FakeCallers {
  private static final Duration CLIENT_HOP = Duration.ofMillis(1);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final TimerService timers;
  private final WorkRecords records;
  private final RequestPath path;
  private final Workload workload;
  private final SplittableRandom arrivals;
  private final Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);
  private Predicate<CallerRequest> measured = request -> false;
  private double ratePerSecond;
  private long sent;
  private long told;
  private long answered;
  private boolean stopped;

  FakeCallers(TimerService timers, WorkRecords records, RequestPath path, Workload workload) {
    this.timers = timers;
    this.records = records;
    this.path = path;
    this.workload = workload;
    this.arrivals = new SplittableRandom(workload.seed());
  }

  void start(double requestsPerSecond) {
    ratePerSecond = requestsPerSecond;
    scheduleNext();
  }

  void changeRate(double requestsPerSecond) {
    ratePerSecond = requestsPerSecond;
  }

  /** Selects the requests whose latency counts from now on. */
  void measure(Predicate<CallerRequest> selected) {
    measured = selected;
  }

  /** Returns the latencies in nanoseconds; a request without an answer counts as its deadline. */
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

  /** Returns the number of requests whose caller was told nothing yet. */
  long waiting() {
    return sent - told;
  }

  void stop() {
    stopped = true;
  }

  private void scheduleNext() {
    double seconds = arrivals.nextExponential() / ratePerSecond;
    timers.after(Duration.ofNanos((long) (seconds * NANOS_PER_SECOND)), this::sendOne);
  }

  private void sendOne() {
    if (stopped) {
      return;
    }
    CallerRequest request = workload.request(sent++);
    long sentNanos = timers.nowNanos();
    boolean counts = measured.test(request);
    timers.after(
        CLIENT_HOP,
        () ->
            path.submit(
                request,
                reply -> timers.after(CLIENT_HOP, () -> told(request, reply, sentNanos, counts))));
    scheduleNext();
  }

  private void told(CallerRequest request, CallerReply reply, long sentNanos, boolean counts) {
    records.told(request, reply);
    told++;
    long elapsed = timers.nowNanos() - sentNanos;
    long deadline = workload.deadline().toNanos();
    boolean inTime = reply.outcome() instanceof Outcome.Answered && elapsed <= deadline;
    answered += inTime ? 1 : 0;
    if (counts) {
      latencies.recordValue(inTime ? elapsed : deadline);
    }
  }
}
