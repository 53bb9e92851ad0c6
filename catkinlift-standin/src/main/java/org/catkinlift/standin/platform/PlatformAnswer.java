package org.catkinlift.standin.platform;

import io.vertx.core.buffer.Buffer;

/** What a client of the platform stand-in sees. */
public sealed interface PlatformAnswer {

  /**
   * An answer, which waits for the delay in force.
   *
   * @param status the HTTP status
   * @param body the body
   */
  record Delayed(int status, Buffer body) implements PlatformAnswer {}

  /**
   * An answer to a call that controls the stand-in, sent at once.
   *
   * @param status the HTTP status
   * @param body the body
   */
  record Immediate(int status, Buffer body) implements PlatformAnswer {}

  /** The connection is closed without an answer although the call took effect. */
  record Lost() implements PlatformAnswer {}
}
