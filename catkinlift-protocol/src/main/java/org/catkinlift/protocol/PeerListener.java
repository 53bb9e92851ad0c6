package org.catkinlift.protocol;

import org.catkinlift.control.PeerMessage;
import org.catkinlift.model.HostId;

/** Receives frames and link events from other daemons. Called on the transport's threads. */
public interface PeerListener {

  /**
   * Called when a control message arrives.
   *
   * @param from the sender
   * @param message the message
   */
  void messageReceived(HostId from, PeerMessage message);

  /**
   * Called when a frame of a relayed request or response arrives.
   *
   * @param link the link on which the frame arrived; responses are sent on the same link
   * @param frame the frame
   */
  void relayReceived(PeerLink link, RelayFrame frame);

  /**
   * Called when a link does not answer pings, so that its peer may be unreachable or paused. The
   * link is already retired, but frames may still arrive on it until it is closed.
   *
   * @param link the link, which this daemon opened
   */
  void linkSuspected(PeerLink link);

  /**
   * Called when a link has closed. No more frames arrive on it, and its streams have ended.
   *
   * @param link the link
   */
  void linkClosed(PeerLink link);
}
