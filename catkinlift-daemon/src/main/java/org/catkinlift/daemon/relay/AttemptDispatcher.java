package org.catkinlift.daemon.relay;

import org.catkinlift.protocol.RelayHead;

/** Opens the dispatcher side of attempts. */
public interface AttemptDispatcher {
  /** The body bytes that may be under way in one direction, in bytes. */
  int WINDOW_BYTES = 256 * 1024;

  /**
   * Opens the dispatcher side of an attempt.
   *
   * @param head the request
   * @param listener the entry side; called on the thread of the dispatcher side
   * @return the dispatcher side; may be called on any thread
   */
  AttemptStream open(RelayHead head, AttemptListener listener);
}
