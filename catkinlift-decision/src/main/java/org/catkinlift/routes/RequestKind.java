package org.catkinlift.routes;

/** How often a request may be executed. */
public enum RequestKind {
  /** May be executed more than once. */
  IDEMPOTENT,
  /** May be executed at most once. */
  NON_IDEMPOTENT,
  /** Has a large response; may be executed more than once. */
  DOWNLOAD,
  /** Has a large body; may be executed at most once. */
  UPLOAD;

  /**
   * Returns whether the request may be executed more than once.
   *
   * @return false only for requests that may be executed at most once
   */
  public boolean isIdempotent() {
    return switch (this) {
      case IDEMPOTENT, DOWNLOAD -> true;
      case NON_IDEMPOTENT, UPLOAD -> false;
    };
  }
}
