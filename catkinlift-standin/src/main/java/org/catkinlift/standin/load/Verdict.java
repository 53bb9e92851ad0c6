package org.catkinlift.standin.load;

/** The result of a request as observed by its caller. */
public sealed interface Verdict {

  /** A complete response that matches the request was received. */
  record Answered() implements Verdict {}

  /** The request was refused and reported as not run. */
  record RefusedNotRun() implements Verdict {}

  /** The request may or may not have run. */
  record Unknown() implements Verdict {}

  /**
   * The response does not match the request.
   *
   * @param reason how it differs
   */
  record Wrong(String reason) implements Verdict {}
}
