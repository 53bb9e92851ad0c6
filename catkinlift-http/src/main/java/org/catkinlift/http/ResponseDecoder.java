package org.catkinlift.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes responses; a response to HEAD has no body regardless of its content length. Bytes that
 * begin like a response are malformed if the status code is not three digits from 100 to 599, or if
 * the name of a field in the head or behind the last chunk is not a token that a colon follows.
 *
 * <p>A response without a length is complete only if the server has ended its output. A connection
 * that is reset, or closed on this side, may have cut it. Netty reports a reset as an exception if
 * a read meets it; if a write does, it only closes the channel.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;
  private static final int STATUS_DIGITS = 3;
  private static final byte NAME_END = ':';

  private boolean headOnly;
  private boolean inputFailed;
  private boolean outputEnded;

  /**
   * Sets whether the next response answers a HEAD request.
   *
   * @param value whether it does
   */
  public void setHeadOnly(boolean value) {
    headOnly = value;
  }

  /**
   * Returns whether bytes were received that are not decoded yet. After a complete response, these
   * belong to no response.
   *
   * @return whether there are such bytes
   */
  public boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }

  /** Lets the channel report the end of the server's output as an event of its own. */
  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
  }

  /** Closes the channel at the end of the server's output, as without half-closure. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (!(event instanceof ChannelInputShutdownEvent)) {
      super.userEventTriggered(context, event);
      return;
    }
    // A failed read is followed by this event, too.
    outputEnded = !inputFailed;
    ChannelFuture unused = context.close();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    inputFailed = true;
    context.fireExceptionCaught(cause);
  }

  /** Decodes what the end of the connection completes; called when the channel is closed. */
  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (outputEnded) {
      super.decodeLast(context, in, out);
    }
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    HttpMessage message = super.createMessage(initialLine);
    int status = ((HttpResponse) message).status().code();
    // The superclass takes any number for a status, also one with a sign or leading zeros.
    if (status < MIN_STATUS || status > MAX_STATUS || initialLine[1].length() != STATUS_DIGITS) {
      throw new IllegalArgumentException("invalid status code: " + initialLine[1]);
    }
    return message;
  }

  /**
   * Returns the name of a field. The superclass looks for bytes that no token may have, but ends
   * the name at a blank and ignores what stands between the blank and the colon.
   */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != NAME_END) {
      throw new IllegalArgumentException("blank in the name of a header field");
    }
    return super.splitHeaderName(line, start, length);
  }

  @Override
  public boolean isContentAlwaysEmpty(HttpMessage message) {
    return headOnly || super.isContentAlwaysEmpty(message);
  }
}
