package org.catkinlift.standin.load;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

/**
 * The results of a load test as observed by callers.
 *
 * @param counts the number of requests by verdict
 * @param latency the latency of answered requests, measured from their scheduled send time
 * @param refusedIds the ids of the requests that were refused and reported as not run
 * @param problems the first wrong responses, each with its request id
 */
public record LoadReport(
    Counts counts,
    Latency latency,
    ImmutableSet<String> refusedIds,
    ImmutableList<String> problems) {

  /**
   * The number of requests by verdict; each request is counted once.
   *
   * @param answered requests with a complete and matching response
   * @param refusedNotRun requests refused and reported as not run
   * @param unknown requests that may or may not have run
   * @param wrongAnswers requests with any other response
   */
  public record Counts(long answered, long refusedNotRun, long unknown, long wrongAnswers) {

    /**
     * Returns the total number of requests.
     *
     * @return the number
     */
    public long requests() {
      return answered + refusedNotRun + unknown + wrongAnswers;
    }
  }

  /**
   * Latency percentiles in milliseconds; 0 if no request was answered.
   *
   * @param p50Millis the 50th percentile
   * @param p99Millis the 99th percentile
   */
  public record Latency(double p50Millis, double p99Millis) {}
}
