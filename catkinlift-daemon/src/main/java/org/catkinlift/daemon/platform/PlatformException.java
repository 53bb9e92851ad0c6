package org.catkinlift.daemon.platform;

/** Reports an answer of the platform that cannot be used. */
public final class PlatformException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** What is wrong. */
  public enum Code {
    /** The text is not JSON. */
    MALFORMED_JSON,
    /** A field is missing, has the wrong type or holds a value that the model does not allow. */
    MALFORMED_ROW,
    /** The row holds a kind of content that this version does not know. */
    UNKNOWN_KIND,
    /** The platform refused a request as malformed, or its status is not part of the protocol. */
    UNEXPECTED_STATUS
  }

  private final Code code;

  /**
   * Creates the exception.
   *
   * @param code what is wrong
   * @param message the details
   */
  public PlatformException(Code code, String message) {
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
  public PlatformException(Code code, String message, Throwable cause) {
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
