package org.catkinlift.routes;

/** States how often a request may be executed. */
public enum RequestKind {
  /** May be executed more than once. */
  IDEMPOTENT,
  /** May be executed at most once. */
  NON_IDEMPOTENT,
  /** Has a large answer; may be executed more than once. */
  DOWNLOAD;

  /**
   * Tells whether a second execution is harmless.
   *
   * @return false only for requests that may be executed at most once
   */
  public boolean isIdempotent() {
    return switch (this) {
      case IDEMPOTENT, DOWNLOAD -> true;
      case NON_IDEMPOTENT -> false;
    };
  }
}
