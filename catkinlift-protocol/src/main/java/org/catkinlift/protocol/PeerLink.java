package org.catkinlift.protocol;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.model.HostId;
import org.catkinlift.protocol.generated.Frame;
import org.catkinlift.protocol.generated.PingFrame;

/**
 * Sends frames over one connection to another daemon, and retires the connection when the peer does
 * not respond.
 *
 * <p>A connection can lose its network path while both ends consider it open. Therefore each
 * message is followed by a ping unless one is outstanding. A connection with an unanswered ping is
 * retired: the next message opens a new one. The streams of a retired connection get time to end,
 * because the other daemon may only have been paused, and then it is closed.
 */
public final class PeerLink {
  private static final Duration PONG_TIMEOUT = Duration.ofMillis(500);

  /** Equal to the default deadline of a request, so that pending streams can end. */
  private static final Duration CLOSE_AFTER_RETIREMENT = Duration.ofSeconds(10);

  private final Channel channel;
  private final HostId peer;
  private final long number;
  private final boolean outgoing;
  private final Consumer<PeerLink> onRetire;
  private boolean pingOutstanding;
  private long lastPingNumber;

  PeerLink(
      Channel channel, HostId peer, long number, boolean outgoing, Consumer<PeerLink> onRetire) {
    this.channel = channel;
    this.peer = peer;
    this.number = number;
    this.outgoing = outgoing;
    this.onRetire = onRetire;
  }

  /**
   * Returns the host of the peer.
   *
   * @return the host
   */
  public HostId peer() {
    return peer;
  }

  /**
   * Returns the number of the link, unique within the process.
   *
   * @return the number
   */
  public long number() {
    return number;
  }

  /**
   * Returns whether this daemon opened the link. Only the daemon that opened a link sends requests
   * on it.
   *
   * @return true if this daemon opened it
   */
  public boolean isOutgoing() {
    return outgoing;
  }

  /**
   * Returns whether frames can still be sent.
   *
   * @return false once the connection is closed
   */
  public boolean isOpen() {
    return channel.isActive();
  }

  /**
   * Sends a frame of a relayed request or response. May be called on any thread; frames sent by one
   * thread keep their order.
   *
   * @param frame the frame
   */
  public void send(RelayFrame frame) {
    write(RelayCodec.encode(frame));
  }

  void send(PeerMessage message) {
    write(PeerMessageCodec.encode(message));
  }

  void write(Frame frame) {
    channel.writeAndFlush(frame).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    channel.eventLoop().execute(this::pingIfNoneOutstanding);
  }

  /** Cancels the timeout of the outstanding ping. Must be called on the event loop. */
  void pongReceived(long pongNumber) {
    if (pongNumber == lastPingNumber) {
      pingOutstanding = false;
    }
  }

  void close() {
    var unused = channel.close();
  }

  private void pingIfNoneOutstanding() {
    if (pingOutstanding || !channel.isActive()) {
      return;
    }
    pingOutstanding = true;
    long pingNumber = ++lastPingNumber;
    channel
        .writeAndFlush(
            Frame.newBuilder().setPing(PingFrame.newBuilder().setNumber(pingNumber)).build())
        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    scheduleCheck(() -> recheckIfUnanswered(pingNumber), PONG_TIMEOUT);
  }

  /**
   * Checks again after another timeout, because after a pause of this process the timer runs before
   * a pong that has already arrived is read.
   */
  private void recheckIfUnanswered(long pingNumber) {
    if (isUnanswered(pingNumber)) {
      scheduleCheck(() -> retireIfUnanswered(pingNumber), PONG_TIMEOUT);
    }
  }

  private void retireIfUnanswered(long pingNumber) {
    if (!isUnanswered(pingNumber)) {
      return;
    }
    onRetire.accept(this);
    scheduleCheck(() -> closeIfUnanswered(pingNumber), CLOSE_AFTER_RETIREMENT);
  }

  /** A retired connection whose peer has responded meanwhile stays open for its streams. */
  private void closeIfUnanswered(long pingNumber) {
    if (isUnanswered(pingNumber)) {
      close();
    }
  }

  private boolean isUnanswered(long pingNumber) {
    return pingOutstanding && lastPingNumber == pingNumber;
  }

  private void scheduleCheck(Runnable check, Duration delay) {
    var unused = channel.eventLoop().schedule(check, delay.toMillis(), TimeUnit.MILLISECONDS);
  }
}
