package org.catkinlift.standin.platform;

import io.vertx.core.buffer.Buffer;

/** The outcome of a call as seen by a client of the platform stand-in. */
public sealed interface PlatformAnswer {

  /**
   * A response that is sent after the configured delay.
   *
   * @param status the HTTP status
   * @param body the response body
   */
  record Delayed(int status, Buffer body) implements PlatformAnswer {}

  /**
   * A response to a call that controls the stand-in; sent without delay.
   *
   * @param status the HTTP status
   * @param body the response body
   */
  record Immediate(int status, Buffer body) implements PlatformAnswer {}

  /** The connection is closed without a response although the call took effect. */
  record Lost() implements PlatformAnswer {}
}
