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
 * Sends frames over one connection to another daemon and retires it when it goes silent.
 *
 * <p>A connection can lose its path while both ends consider it open. Therefore each message is
 * followed by a ping unless one is under way. A connection whose ping stays unanswered is retired:
 * the next message opens a new one. Its streams get some time to end, since the other daemon may
 * only have been paused, and then it is closed.
 */
public final class PeerLink {
  private static final Duration PONG_TIMEOUT = Duration.ofMillis(500);

  /** As long as the default deadline of a request. */
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
   * Returns the daemon at the other end.
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
   * Tells which side opened the link, and so which side sends requests on it.
   *
   * @return true if this daemon opened it
   */
  public boolean isOutgoing() {
    return outgoing;
  }

  /**
   * Tells whether frames can still be sent.
   *
   * @return false once the connection is closed
   */
  public boolean isOpen() {
    return channel.isActive();
  }

  /**
   * Sends a part of a relayed request or of its answer. May be called on any thread; frames of one
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
    channel.eventLoop().execute(this::pingIfIdle);
  }

  /** Stops the timeout of the outstanding ping. Event loop only. */
  void pongReceived(long pongNumber) {
    if (pongNumber == lastPingNumber) {
      pingOutstanding = false;
    }
  }

  void close() {
    var unused = channel.close();
  }

  private void pingIfIdle() {
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
   * Checks once more after what has arrived meanwhile was read, because after a pause of this
   * process the timer runs before the answer is read.
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

  /** A retired connection that answered after all stays open for the streams that it carries. */
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
