package org.catkinlift.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;

/**
 * Writes to and closes channels whose failures arrive as the end of the channel, so that the
 * futures of the single calls need no listener.
 */
public final class Channels {
  private Channels() {}

  /**
   * Closes a channel.
   *
   * @param channel the channel
   */
  public static void close(Channel channel) {
    ChannelFuture unused = channel.close();
  }

  /**
   * Closes a channel once everything that was written to it has left this process.
   *
   * @param channel the channel
   */
  public static void closeAfterWrites(Channel channel) {
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /**
   * Writes without flushing.
   *
   * @param channel the channel
   * @param message what to write
   */
  public static void write(Channel channel, Object message) {
    ChannelFuture unused = channel.write(message);
  }

  /**
   * Writes and flushes.
   *
   * @param channel the channel
   * @param message what to write
   */
  public static void writeAndFlush(Channel channel, Object message) {
    ChannelFuture unused = channel.writeAndFlush(message);
  }
}
