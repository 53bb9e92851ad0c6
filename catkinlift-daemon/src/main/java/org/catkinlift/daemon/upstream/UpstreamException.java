package org.catkinlift.daemon.upstream;

/** Reports an invalid response of an upstream to a control request. */
public final class UpstreamException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** The kinds of invalid responses. */
  public enum Code {
    /** The body is not JSON, or a field is missing or has the wrong type. */
    MALFORMED_RESPONSE,
    /** The status is not part of the protocol. */
    UNEXPECTED_STATUS
  }

  private final Code code;

  /**
   * Creates the exception.
   *
   * @param code the kind of error
   * @param message the detail message
   */
  public UpstreamException(Code code, String message) {
    super(message);
    this.code = code;
  }

  /**
   * Creates the exception with a cause.
   *
   * @param code the kind of error
   * @param message the detail message
   * @param cause the cause
   */
  public UpstreamException(Code code, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /**
   * Returns the kind of error.
   *
   * @return the code
   */
  public Code code() {
    return code;
  }
}
