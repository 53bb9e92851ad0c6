package org.catkinlift.daemon.relay;

import io.vertx.core.buffer.Buffer;

/**
 * The caller side's view of an open attempt: sends the request body, grants credit for the response
 * and cancels.
 */
public interface AttemptStream {

  /**
   * Sends a chunk of the request body; allowed only while credit remains.
   *
   * @param data the bytes
   * @param last whether this chunk ends the body
   */
  void sendBody(Buffer data, boolean last);

  /**
   * Allows the dispatcher to send more bytes of the response body.
   *
   * @param bytes the number of additional bytes
   */
  void grantCredit(int bytes);

  /** Cancels the attempt because its response is no longer needed. */
  void cancel();
}
