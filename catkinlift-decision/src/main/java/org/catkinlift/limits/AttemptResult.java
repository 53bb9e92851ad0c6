package org.catkinlift.limits;

import java.time.Duration;
import org.catkinlift.model.RefusalCode;

/** The result of an attempt that was sent to an upstream. */
public sealed interface AttemptResult {

  /**
   * The upstream executed the request.
   *
   * @param latency the time from sending the request to the start of the response
   * @param instance the instance of the upstream process that responded; empty if the response does
   *     not name it
   */
  record Answered(Duration latency, String instance) implements AttemptResult {}

  /** The upstream is overloaded and did not execute the request. */
  record Shed() implements AttemptResult {}

  /**
   * The request was not executed: the upstream rejected it, or nothing was written to it.
   *
   * @param code the reason
   */
  record Refused(RefusalCode code) implements AttemptResult {}

  /**
   * The request may have been executed or may still be executing.
   *
   * @param code the reason
   */
  record Failed(RefusalCode code) implements AttemptResult {}

  /**
   * The upstream no longer executes the request, which may have been executed in part or
   * completely.
   *
   * <p>Reported when the upstream confirms a cancellation. After {@link Failed}, in contrast, the
   * request may still use part of the upstream's concurrency limit.
   */
  record Stopped() implements AttemptResult {}
}
