package org.catkinlift.model;

import java.time.Duration;

/** States how an attempt to execute a request ended. */
public sealed interface Outcome {

  /** The upstream answered; the answer is streamed apart from this record. */
  record Answered() implements Outcome {}

  /**
   * The request did not run, and never will.
   *
   * <p>Only stated when nothing left this router or when the upstream or its dispatcher said so.
   *
   * @param code the reason
   * @param retryAfter when a new attempt makes sense
   */
  record NotRun(RefusalCode code, Duration retryAfter) implements Outcome {}

  /**
   * The request may or may not have run.
   *
   * @param code the reason
   */
  record Unknown(RefusalCode code) implements Outcome {}

  /**
   * Returns the outcome of a request that did not run.
   *
   * @param code the reason
   * @param retryAfter when a new attempt makes sense
   * @return the outcome
   */
  static Outcome notRun(RefusalCode code, Duration retryAfter) {
    return new NotRun(code, retryAfter);
  }

  /**
   * Returns the outcome of a request whose execution is not known.
   *
   * @param code the reason
   * @return the outcome
   */
  static Outcome unknown(RefusalCode code) {
    return new Unknown(code);
  }
}
