package org.catkinlift.standin.upstream;

import java.time.Duration;

/** How an upstream's load reports relate to its actual load. */
public sealed interface LoadReporting {

  /** Reports the current load. */
  record Current() implements LoadReporting {}

  /**
   * Reports the load as of an earlier time.
   *
   * @param lag the age of the reported load; at most 30 s
   */
  record Lagging(Duration lag) implements LoadReporting {}

  /**
   * Reports a fixed value regardless of the load.
   *
   * @param running the reported number of requests in execution
   */
  record Misleading(int running) implements LoadReporting {}
}
