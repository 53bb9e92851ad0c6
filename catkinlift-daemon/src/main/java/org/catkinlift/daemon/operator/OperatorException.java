package org.catkinlift.daemon.operator;

/** Thrown if the operator API cannot listen or rejects a request body. */
public final class OperatorException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** The kind of failure. */
  public enum Code {
    /** The server cannot listen on the operator address. */
    LISTEN_FAILED,
    /** A request body exceeds the size limit. */
    BODY_TOO_LARGE
  }

  private final Code code;

  /**
   * Creates the exception.
   *
   * @param code the kind of failure
   * @param message the details
   */
  public OperatorException(Code code, String message) {
    super(message);
    this.code = code;
  }

  /**
   * Creates the exception with a cause.
   *
   * @param code the kind of failure
   * @param message the details
   * @param cause the exception of the lower layer
   */
  public OperatorException(Code code, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /**
   * Returns the kind of failure.
   *
   * @return the code
   */
  public Code code() {
    return code;
  }
}
