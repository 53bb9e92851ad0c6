package org.catkinlift.daemon.platform;

/** Thrown if a response of the platform cannot be used. */
public final class PlatformException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** The kind of failure. */
  public enum Code {
    /** The text is not JSON. */
    MALFORMED_JSON,
    /** A field is missing, has the wrong type or has a value that the model rejects. */
    MALFORMED_ROW,
    /** The row is of a kind that this version does not know. */
    UNKNOWN_KIND,
    /** The platform rejected the request as malformed, or the status is not in the protocol. */
    UNEXPECTED_STATUS
  }

  private final Code code;

  /**
   * Creates the exception.
   *
   * @param code the kind of failure
   * @param message the details
   */
  public PlatformException(Code code, String message) {
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
  public PlatformException(Code code, String message, Throwable cause) {
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
