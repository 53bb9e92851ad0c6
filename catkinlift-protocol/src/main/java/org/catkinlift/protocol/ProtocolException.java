package org.catkinlift.protocol;

/** Thrown if a peer violates the inner protocol or if the transport cannot listen. */
public final class ProtocolException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** The kind of failure. */
  public enum Code {
    /** A frame cannot be decoded, or arrived before the open frame. */
    MALFORMED_FRAME,
    /** The peer uses another version of the inner protocol. */
    VERSION_MISMATCH,
    /** The listening address cannot be bound. */
    BIND_FAILED
  }

  private final Code code;

  /**
   * Creates the exception.
   *
   * @param code the kind of failure
   * @param message the detail message
   */
  public ProtocolException(Code code, String message) {
    super(message);
    this.code = code;
  }

  /**
   * Creates the exception with a cause.
   *
   * @param code the kind of failure
   * @param message the detail message
   * @param cause the underlying error
   */
  public ProtocolException(Code code, String message, Throwable cause) {
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
