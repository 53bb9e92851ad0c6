package org.catkinlift.bench.jmh;

import java.util.Collection;
import java.util.Locale;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/**
 * Runs the microbenchmarks with the allocation profiler, and prints each result also as a
 * percentage of the CPU time of a proxied request, measured in the same run. The results are for
 * information only; no check depends on them.
 */
public final class JmhMain {
  private static final int ITERATIONS = 3;
  private static final TimeValue ITERATION_TIME = TimeValue.seconds(1);

  private JmhMain() {}

  /**
   * Runs all benchmarks of this package.
   *
   * @param args not used
   * @throws Exception if a benchmark or the measurement of proxied requests fails
   */
  public static void main(String[] args) throws Exception {
    var options =
        new OptionsBuilder()
            .include("org\\.catkinlift\\.bench\\.jmh\\..*")
            .addProfiler(GCProfiler.class)
            .forks(1)
            .warmupIterations(ITERATIONS)
            .warmupTime(ITERATION_TIME)
            .measurementIterations(ITERATIONS)
            .measurementTime(ITERATION_TIME)
            .build();
    Collection<RunResult> results = new Runner(options).run();
    double requestNanos = ProxiedRequestCost.measureNanos();
    System.out.printf(Locale.ROOT, "%nproxied request: %.0f ns of processor time%n", requestNanos);
    results.forEach(result -> printShare(result, requestNanos));
  }

  private static void printShare(RunResult result, double requestNanos) {
    double nanos = result.getPrimaryResult().getScore();
    System.out.printf(
        Locale.ROOT,
        "%s: %.0f ns, %.2f %% of a proxied request%n",
        result.getParams().getBenchmark(),
        nanos,
        100 * nanos / requestNanos);
  }
}
