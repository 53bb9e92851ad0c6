package org.catkinlift.standin.load;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.HdrHistogram.Histogram;

/** Collects the verdicts and latencies of requests. Confined to one event loop. */
final class LoadRecorder {

  private static final Duration MAX_LATENCY = Duration.ofMinutes(10);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int MAX_PROBLEMS = 20;
  private static final double NANOS_PER_MILLI = 1e6;

  private final Histogram latencies = new Histogram(MAX_LATENCY.toNanos(), SIGNIFICANT_DIGITS);
  private final ImmutableSet.Builder<String> refusedIds = ImmutableSet.builder();
  private final ImmutableList.Builder<String> problems = ImmutableList.builder();
  private long answered;
  private long refused;
  private long unknown;
  private long wrong;

  void add(PlannedRequest request, Verdict verdict, long latencyNanos) {
    switch (verdict) {
      case Verdict.Answered v -> {
        answered++;
        latencies.recordValue(Math.min(latencyNanos, MAX_LATENCY.toNanos()));
      }
      case Verdict.RefusedNotRun v -> {
        refused++;
        refusedIds.add(request.id());
      }
      case Verdict.Unknown v -> unknown++;
      case Verdict.Wrong v -> {
        wrong++;
        if (wrong <= MAX_PROBLEMS) {
          problems.add(request.id() + ": " + v.reason());
        }
      }
    }
  }

  LoadReport report() {
    return new LoadReport(
        new LoadReport.Counts(answered, refused, unknown, wrong),
        new LoadReport.Latency(percentile(50), percentile(99)),
        refusedIds.build(),
        problems.build());
  }

  private double percentile(double percent) {
    return latencies.getValueAtPercentile(percent) / NANOS_PER_MILLI;
  }
}
