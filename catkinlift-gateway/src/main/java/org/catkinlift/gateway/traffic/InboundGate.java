package org.catkinlift.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Lets the decoder of a caller's connection decode one message at a time, while the connection
 * takes messages. Otherwise the bytes of one read could become hundreds of requests in progress.
 * What is not decoded stays in the decoder, and no more is read from the socket.
 */
final class InboundGate extends ChannelInboundHandlerAdapter {
  private final CallerConnection connection;
  private final RequestDecoder decoder;
  private ChannelHandlerContext context;
  private boolean decoding;

  InboundGate(CallerConnection connection, RequestDecoder decoder) {
    this.connection = connection;
    this.decoder = decoder;
    decoder.setSingleDecode(true);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext newContext) {
    context = newContext;
  }

  @Override
  public void channelRead(ChannelHandlerContext ignored, Object message) {
    connection.bytesRead(((ByteBuf) message).readableBytes());
    decoding = true;
    context.fireChannelRead(message);
    decoding = false;
    resume();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ignored) {
    // The decoder would read from the socket if it has decoded nothing since the last read.
    if (context.channel().config().isAutoRead()) {
      context.fireChannelReadComplete();
    }
  }

  /** Decodes what was received, and reads from the socket as far as the connection allows. */
  void resume() {
    if (decoding || !context.channel().isActive()) {
      return;
    }
    decoding = true;
    int unread = decoder.unreadBytes();
    int previous = -1;
    while (unread > 0 && unread != previous && connection.takesInput()) {
      previous = unread;
      context.fireChannelRead(Unpooled.EMPTY_BUFFER);
      unread = decoder.unreadBytes();
    }
    decoding = false;
    connection.inputDecoded();
    boolean reading = connection.takesInput();
    if (context.channel().config().isAutoRead() != reading) {
      context.channel().config().setAutoRead(reading);
    }
  }
}
