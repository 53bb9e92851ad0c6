package org.catkinlift.protocol;

/** Reports a violation of the inner protocol or a failed connection between daemons. */
public final class ProtocolException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What went wrong. */
  public enum Code {
    /** A frame cannot be decoded. */
    MALFORMED_FRAME,
    /** The peer speaks another version of the protocol. */
    VERSION_MISMATCH,
    /** The address to listen on cannot be used. */
    BIND_FAILED
  }

  private final Code code;

  /**
   * Creates the exception.
   *
   * @param code what went wrong
   * @param message the details
   */
  public ProtocolException(Code code, String message) {
    super(message);
    this.code = code;
  }

  /**
   * Creates the exception with the error of the layer below.
   *
   * @param code what went wrong
   * @param message the details
   * @param cause the error of the layer below
   */
  public ProtocolException(Code code, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /**
   * Returns what went wrong.
   *
   * @return the code
   */
  public Code code() {
    return code;
  }
}
