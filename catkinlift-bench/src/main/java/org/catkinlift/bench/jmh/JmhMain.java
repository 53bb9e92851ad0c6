package org.catkinlift.bench.jmh;

import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs the micro-benchmarks with the allocation per operation. The figures decide nothing. */
public final class JmhMain {
  private static final int ITERATIONS = 3;
  private static final TimeValue TIME = TimeValue.seconds(1);

  private JmhMain() {}

  /**
   * Runs all benchmarks of this package.
   *
   * @param args unused
   * @throws RunnerException if a benchmark fails
   */
  public static void main(String[] args) throws RunnerException {
    var options =
        new OptionsBuilder()
            .include("org\\.catkinlift\\.bench\\.jmh\\..*")
            .addProfiler(GCProfiler.class)
            .forks(1)
            .warmupIterations(ITERATIONS)
            .warmupTime(TIME)
            .measurementIterations(ITERATIONS)
            .measurementTime(TIME)
            .build();
    new Runner(options).run();
  }
}
