package org.catkinlift.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Limits the bytes that a server may send on a connection. Placed before the decoder, so that bytes
 * count that never form a message, such as blank lines or an unfinished head.
 *
 * <p>Fires an {@link UnexpectedBytesException} if more bytes arrive, which it discards.
 */
public final class InboundByteLimit extends ChannelInboundHandlerAdapter {
  /** Allows any number of bytes. */
  public static final long UNLIMITED = Long.MAX_VALUE;

  /** Allows no bytes, because no response is expected. */
  public static final long NONE = 0;

  private long remainingBytes = NONE;

  /**
   * Sets the number of bytes that may arrive from now on.
   *
   * @param bytes the number of bytes
   */
  public void allow(long bytes) {
    remainingBytes = bytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    var bytes = (ByteBuf) message;
    int length = bytes.readableBytes();
    if (length <= remainingBytes) {
      remainingBytes -= length;
      context.fireChannelRead(bytes);
      return;
    }
    bytes.release();
    context.fireExceptionCaught(
        new UnexpectedBytesException("more bytes than a response may have"));
  }
}
