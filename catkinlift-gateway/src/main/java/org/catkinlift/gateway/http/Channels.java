package org.catkinlift.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;

/**
 * Channel operations whose futures need no listener, because a failure also closes the channel, and
 * its owner handles that.
 */
public final class Channels {
  private Channels() {}

  /**
   * Closes a channel without waiting for pending writes.
   *
   * @param channel the channel
   */
  public static void close(Channel channel) {
    ChannelFuture unused = channel.close();
  }

  /**
   * Flushes pending writes and closes the channel when they are complete.
   *
   * @param channel the channel
   */
  public static void closeAfterWrites(Channel channel) {
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /**
   * Writes a message without flushing.
   *
   * @param channel the channel
   * @param message the message
   */
  public static void write(Channel channel, Object message) {
    ChannelFuture unused = channel.write(message);
  }

  /**
   * Writes a message and flushes.
   *
   * @param channel the channel
   * @param message the message
   */
  public static void writeAndFlush(Channel channel, Object message) {
    ChannelFuture unused = channel.writeAndFlush(message);
  }
}
