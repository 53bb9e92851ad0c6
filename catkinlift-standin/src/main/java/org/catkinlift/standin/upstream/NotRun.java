package org.catkinlift.standin.upstream;

/** Why an upstream did not run a request. */
public enum NotRun {
  /** All execution slots and waiting places are taken. */
  SHED(503),
  /** The upstream finishes its work and takes no more. */
  DRAINING(503),
  /** The request was cancelled before it started. */
  CANCELLED(503),
  /** The upstream does not hold the grant that the request names. */
  NOT_GRANTED(409),
  /** The time after which the request may not start has passed. */
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
