package org.catkinlift.daemon.relay;

import org.catkinlift.protocol.RelayHead;

/** Dispatches attempts to upstreams. */
public interface AttemptDispatcher {
  /** The flow-control window for body data in one direction, in bytes. */
  int WINDOW_BYTES = 256 * 1024;

  /**
   * Opens an attempt.
   *
   * @param head the head of the relayed request
   * @param listener receives the response; called on the dispatcher's thread
   * @return the stream of the attempt; may be called on any thread
   */
  AttemptStream open(RelayHead head, AttemptListener listener);
}
