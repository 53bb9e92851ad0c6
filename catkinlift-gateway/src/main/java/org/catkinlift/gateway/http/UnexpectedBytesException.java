package org.catkinlift.gateway.http;

import java.io.IOException;

/** Thrown when a server sends bytes that cannot belong to a response. */
public final class UnexpectedBytesException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Creates the exception.
   *
   * @param message what is wrong with the bytes
   */
  public UnexpectedBytesException(String message) {
    super(message);
  }
}
