package org.catkinlift.standin.upstream;

/** What an upstream says about a request after it was asked to cancel it. */
enum Cancellation {
  /** The request does not run any more, and has not run to its end if it was cancelled in time. */
  ENDED(200),
  /** No request with this id has arrived; it may still be under way. */
  UNKNOWN(404),
  /** An order with this id is in execution and cannot be stopped. */
  RUNNING(409);

  private final int status;

  Cancellation(int status) {
    this.status = status;
  }

  int status() {
    return status;
  }
}
