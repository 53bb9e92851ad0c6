package org.catkinlift.standin.upstream;

/** The state of a request that an upstream reports in response to a cancellation. */
enum Cancellation {
  /** The request is no longer running; if it was cancelled in time, it did not complete. */
  ENDED(200),
  /** No request with this id has been received; it may still be in transit. */
  UNKNOWN(404),
  /** An order with this id is running and cannot be stopped. */
  RUNNING(409);

  private final int status;

  Cancellation(int status) {
    this.status = status;
  }

  int status() {
    return status;
  }
}
