package org.catkinlift.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.time.Duration;

/**
 * Lets the decoder of a caller's connection decode one message at a time, while the connection
 * takes messages. Otherwise the bytes of one read could become thousands of requests in progress.
 * What is not decoded stays in the decoder, and no more is read from the socket.
 */
final class InboundGate extends ChannelInboundHandlerAdapter {
  /**
   * Further messages are decoded after a pause, in which other connections are served. One read can
   * hold 10,000 chunks of one byte.
   */
  private static final int MAX_MESSAGES_PER_TURN = 128;

  private static final Duration PAUSE = Duration.ofMillis(5);

  private final CallerConnection connection;
  private final RequestDecoder decoder;
  private ChannelHandlerContext context;
  private boolean decoding;
  private boolean pausing;

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
    if (decoding || pausing || !context.channel().isActive()) {
      return;
    }
    decoding = true;
    int unread = decoder.unreadBytes();
    int previous = -1;
    int messages = 0;
    while (unread > 0
        && unread != previous
        && messages < MAX_MESSAGES_PER_TURN
        && connection.takesInput()) {
      previous = unread;
      context.fireChannelRead(Unpooled.EMPTY_BUFFER);
      unread = decoder.unreadBytes();
      messages++;
    }
    decoding = false;
    connection.inputDecoded();
    if (messages == MAX_MESSAGES_PER_TURN) {
      pause();
    }
    boolean reading = !pausing && connection.takesInput();
    if (context.channel().config().isAutoRead() != reading) {
      context.channel().config().setAutoRead(reading);
    }
  }

  private void pause() {
    pausing = true;
    connection.after(
        PAUSE,
        () -> {
          pausing = false;
          resume();
        });
  }
}
