package org.catkinlift.admission;

import java.time.Duration;

/**
 * Forecasts one figure of an upstream's load reports. Confined to one thread.
 *
 * <p>Load pattern: upstreams that share their machines with others and are slowed for some hundred
 * milliseconds at a time. A report says little about the time after the next change, so its weight
 * decreases with its age in favour of the mean of all reports.
 */
final class LoadForecast {
  /** The age at which a report has lost about two thirds of its weight. */
  private static final Duration REPORT_TIME_CONSTANT = Duration.ofMillis(300);

  private static final double MIN_SMOOTHING_FACTOR = 0.05;

  private double mean;
  private double last;
  private long lastNanos;

  /** The initial figure counts as the first one. */
  private int figures = 1;

  /**
   * Creates a forecast.
   *
   * @param initial the figure that is expected before the first report
   * @param nowNanos the current time
   */
  LoadForecast(double initial, long nowNanos) {
    this.mean = initial;
    this.last = initial;
    this.lastNanos = nowNanos;
  }

  /**
   * Records a report.
   *
   * @param figure the reported figure
   * @param nowNanos the current time
   */
  void reported(double figure, long nowNanos) {
    last = figure;
    lastNanos = nowNanos;
    figures++;
    mean += Math.max(MIN_SMOOTHING_FACTOR, 1.0 / figures) * (figure - mean);
  }

  /** Returns the last report in relation to the mean of all reports. */
  double lastRelativeToMean() {
    return last / mean;
  }

  /**
   * Returns the figure that is expected now in relation to the mean of all reports.
   *
   * @param nowNanos the current time
   */
  double expectedRelativeToMean(long nowNanos) {
    return expected(nowNanos) / mean;
  }

  /**
   * Returns the figure that is expected now.
   *
   * @param nowNanos the current time
   */
  double expected(long nowNanos) {
    if (last == mean) {
      return mean;
    }
    double age = (double) (nowNanos - lastNanos) / REPORT_TIME_CONSTANT.toNanos();
    double weight = Math.exp(-age);
    return weight * last + (1 - weight) * mean;
  }
}
