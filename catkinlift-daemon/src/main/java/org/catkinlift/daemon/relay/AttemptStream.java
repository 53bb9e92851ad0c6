package org.catkinlift.daemon.relay;

import io.vertx.core.buffer.Buffer;

/** The dispatcher side of an attempt, as its entry side sees it. */
public interface AttemptStream {

  /**
   * Continues the request body; sent only as far as credit was given.
   *
   * @param data the bytes
   * @param last whether the body ends here
   */
  void body(Buffer data, boolean last);

  /**
   * Lets the dispatcher side send more bytes of the answer.
   *
   * @param bytes how many more
   */
  void credit(int bytes);

  /** Ends the attempt because nobody waits for its answer any more. */
  void cancel();
}
