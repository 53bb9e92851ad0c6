package org.catkinlift.daemon.upstream;

/** Reports an answer of an upstream that cannot be used. */
public final class UpstreamException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** What is wrong. */
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
   * @param code what is wrong
   * @param message the details
   */
  public UpstreamException(Code code, String message) {
    super(message);
    this.code = code;
  }

  /**
   * Creates the exception for a failure of a lower layer.
   *
   * @param code what is wrong
   * @param message the details
   * @param cause the failure
   */
  public UpstreamException(Code code, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /**
   * Returns what is wrong.
   *
   * @return the code
   */
  public Code code() {
    return code;
  }
}
