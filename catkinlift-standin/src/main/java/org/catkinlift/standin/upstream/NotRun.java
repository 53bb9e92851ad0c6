package org.catkinlift.standin.upstream;

/** The reason why an upstream did not run a request. */
public enum NotRun {
  /** All execution slots are in use and the queue is full. */
  SHED(503),
  /** The upstream is draining: it finishes accepted requests and refuses new ones. */
  DRAINING(503),
  /** The request was cancelled before it started. */
  CANCELLED(503),
  /** No unexpired grant held by the upstream covers the request. */
  NOT_GRANTED(409),
  /** The request has passed its start-before time or its deadline. */
  TOO_LATE(408);

  private final int status;

  NotRun(int status) {
    this.status = status;
  }

  /**
   * Returns the HTTP status of the refusal.
   *
   * @return the status
   */
  public int status() {
    return status;
  }
}
