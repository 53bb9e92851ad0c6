package org.catkinlift.daemon.operator;

/** Reports an operator API that cannot be used. */
public final class OperatorException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What failed. */
  public enum Code {
    /** The operator address cannot be listened on. */
    LISTEN_FAILED,
    /** A body exceeds its limit. */
    BODY_TOO_LARGE
  }

  private final Code code;

  /**
   * Creates the exception.
   *
   * @param code what failed
   * @param message the value and the limit
   */
  public OperatorException(Code code, String message) {
    super(message);
    this.code = code;
  }

  /**
   * Creates the exception for an error of a lower layer.
   *
   * @param code what failed
   * @param message the value and the limit
   * @param cause the exception of the lower layer
   */
  public OperatorException(Code code, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /**
   * Returns what failed.
   *
   * @return the code
   */
  public Code code() {
    return code;
  }
}
