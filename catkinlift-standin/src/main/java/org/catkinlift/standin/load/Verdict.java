package org.catkinlift.standin.load;

/** How a request ended, as its caller saw it. */
public sealed interface Verdict {

  /** The complete answer to this request came. */
  record Answered() implements Verdict {}

  /** The request was refused with the statement that it did not run. */
  record RefusedNotRun() implements Verdict {}

  /** The request may or may not have run. */
  record Unknown() implements Verdict {}

  /**
   * Something came that is no answer to this request.
   *
   * @param reason what is wrong with it
   */
  record Wrong(String reason) implements Verdict {}
}
