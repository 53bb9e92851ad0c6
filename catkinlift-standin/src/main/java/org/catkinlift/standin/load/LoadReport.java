package org.catkinlift.standin.load;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

/**
 * What callers saw during a run.
 *
 * @param counts how requests ended
 * @param latency how long answered requests took, counted from the time they were due
 * @param refusedIds the ids of the requests that were refused with the statement that they did not
 *     run
 * @param problems the first wrong answers, with their request ids
 */
public record LoadReport(
    Counts counts,
    Latency latency,
    ImmutableSet<String> refusedIds,
    ImmutableList<String> problems) {

  /**
   * How requests ended; each request is counted once.
   *
   * @param answered those with a complete answer of their own
   * @param refusedNotRun those refused with the statement that they did not run
   * @param unknown those that may or may not have run
   * @param wrongAnswers those that got something else
   */
  public record Counts(long answered, long refusedNotRun, long unknown, long wrongAnswers) {

    /**
     * Returns the number of all requests.
     *
     * @return the number
     */
    public long requests() {
      return answered + refusedNotRun + unknown + wrongAnswers;
    }
  }

  /**
   * Percentiles in milliseconds; 0 if nothing was answered.
   *
   * @param p50Millis half of the requests took no longer
   * @param p99Millis 99 of 100 requests took no longer
   */
  public record Latency(double p50Millis, double p99Millis) {}
}
