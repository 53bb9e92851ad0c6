package org.catkinlift.model;

import java.time.Duration;

/** The outcome of an attempt to execute a request. */
public sealed interface Outcome {

  /** The upstream responded; the response is streamed separately. */
  record Answered() implements Outcome {}

  /**
   * The request was not executed and never will be.
   *
   * <p>Reported only if nothing was sent by this router or if the upstream or its dispatcher
   * confirmed it.
   *
   * @param code the reason
   * @param retryAfter the delay after which a new attempt is worthwhile
   */
  record NotRun(RefusalCode code, Duration retryAfter) implements Outcome {}

  /**
   * The request may or may not have been executed.
   *
   * @param code the reason
   */
  record Unknown(RefusalCode code) implements Outcome {}

  /**
   * Returns the outcome of a request that was not executed.
   *
   * @param code the reason
   * @param retryAfter the delay after which a new attempt is worthwhile
   * @return the outcome
   */
  static Outcome notRun(RefusalCode code, Duration retryAfter) {
    return new NotRun(code, retryAfter);
  }

  /**
   * Returns the outcome of a request that may or may not have been executed.
   *
   * @param code the reason
   * @return the outcome
   */
  static Outcome unknown(RefusalCode code) {
    return new Unknown(code);
  }
}
