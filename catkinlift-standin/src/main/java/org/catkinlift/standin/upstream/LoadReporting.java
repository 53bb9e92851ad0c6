package org.catkinlift.standin.upstream;

import java.time.Duration;

/** States how true an upstream's load reports are. */
public sealed interface LoadReporting {

  /** Reports the present load. */
  record Current() implements LoadReporting {}

  /**
   * Reports the load as it was some time ago.
   *
   * @param lag how far the report is behind; up to 30 s
   */
  record Lagging(Duration lag) implements LoadReporting {}

  /**
   * Reports a number that has nothing to do with the load.
   *
   * @param running the requests in execution that it claims
   */
  record Misleading(int running) implements LoadReporting {}
}
