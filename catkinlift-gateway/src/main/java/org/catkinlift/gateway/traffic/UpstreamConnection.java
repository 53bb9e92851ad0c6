package org.catkinlift.gateway.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import org.catkinlift.gateway.http.Channels;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;

/**
 * One connection to an upstream; carries one request at a time.
 *
 * <p>An answer that names another request is skipped, and the connection goes on waiting for its
 * own. Bytes that come while no request waits belong to nobody; the connection is closed.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  private static final String KEEP_ALIVE = "keep-alive";
  private static final Duration DEFAULT_IDLE = Duration.ofSeconds(8);

  /** Share of the upstream's idle time within which the connection is used again. */
  private static final double USED_IDLE_SHARE = 0.6;

  private final UpstreamGate gate;
  private final String requestIdHeader;
  private final String notExecutedHeader;
  private final AnswerDecoder decoder = new AnswerDecoder();

  private Channel channel;
  private RequestFlow flow;
  private boolean skipping;
  private boolean answering;
  private boolean keepAlive = true;
  private boolean broken;
  private long idleSinceNanos;
  private long idleLimitNanos = (long) (DEFAULT_IDLE.toNanos() * USED_IDLE_SHARE);

  /** Decodes answers; the answer to a HEAD request has no body whatever its length says. */
  static final class AnswerDecoder extends HttpResponseDecoder {
    private boolean headOnly;

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      return headOnly || super.isContentAlwaysEmpty(message);
    }
  }

  UpstreamConnection(UpstreamGate gate, HeaderNames names) {
    this.gate = gate;
    this.requestIdHeader = names.requestId();
    this.notExecutedHeader = names.notExecuted();
  }

  AnswerDecoder decoder() {
    return decoder;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  boolean isUsable(long nowNanos, long mostIdleNanos) {
    long limit = Math.min(idleLimitNanos, mostIdleNanos);
    return channel.isActive() && !broken && nowNanos - idleSinceNanos < limit;
  }

  /** Sends a request. */
  void send(RequestFlow next, HttpHeaders headers) {
    flow = next;
    answering = false;
    CallerRequest request = next.request();
    decoder.headOnly = request.method().equals("HEAD");
    Channels.write(
        channel,
        new DefaultHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.target(), headers));
    Channels.writeAndFlush(channel, new DefaultLastHttpContent(request.body().retainedDuplicate()));
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (broken) {
        return;
      }
      HttpObject part = (HttpObject) message;
      if (part.decoderResult().isFailure() || flow == null) {
        breakOff(flow == null ? "bytes without a request" : "malformed answer");
        return;
      }
      if (part instanceof HttpResponse answer) {
        headRead(answer);
      }
      if (part instanceof HttpContent content && !broken) {
        contentRead(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void headRead(HttpResponse answer) {
    boolean informational = answer.status().code() / 100 == 1;
    String id = answer.headers().get(requestIdHeader);
    boolean foreign = !informational && !isOwn(id, answer);
    skipping = informational || foreign;
    if (foreign) {
      gate.strayAnswer(String.valueOf(id), flow);
    }
    if (skipping) {
      return;
    }
    answering = true;
    keepAlive = HttpUtil.isKeepAlive(answer) && hasOwnEnd(answer);
    noteIdleLimit(answer.headers().get(KEEP_ALIVE));
    gate.answerBegun(answer.headers());
    flow.answerBegins(answer);
  }

  /** Only a refusal may come without the id of its request. */
  private boolean isOwn(String id, HttpResponse answer) {
    if (id == null) {
      return answer.headers().contains(notExecutedHeader);
    }
    return id.equals(flow.request().id());
  }

  private boolean hasOwnEnd(HttpResponse answer) {
    return decoder.isContentAlwaysEmpty(answer)
        || HttpUtil.isTransferEncodingChunked(answer)
        || HttpUtil.isContentLengthSet(answer);
  }

  private void noteIdleLimit(String keepAliveHeader) {
    if (keepAliveHeader == null) {
      return;
    }
    int start = keepAliveHeader.indexOf("timeout=");
    if (start < 0) {
      return;
    }
    long seconds = 0;
    for (int i = start + "timeout=".length(); i < keepAliveHeader.length(); i++) {
      int digit = Character.digit(keepAliveHeader.charAt(i), 10);
      if (digit < 0 || seconds > 3_600) {
        break;
      }
      seconds = seconds * 10 + digit;
    }
    idleLimitNanos = (long) (Duration.ofSeconds(seconds).toNanos() * USED_IDLE_SHARE);
  }

  private void contentRead(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (skipping) {
      skipping = !last;
      return;
    }
    if (!answering) {
      return;
    }
    RequestFlow current = flow;
    if (last) {
      finished();
    }
    current.answerContinues(content.content().retain(), last);
  }

  private void finished() {
    flow = null;
    answering = false;
    idleSinceNanos = System.nanoTime();
    // The caller may have been too slow for the last part; the next request must be read.
    setReading(true);
    gate.completed(this, keepAlive && channel.isActive());
  }

  /** Notes that the connection was opened for a request that has gone. */
  void markIdle() {
    idleSinceNanos = System.nanoTime();
  }

  /** Closes the connection after an answer that ends it. */
  void closeWhenDone() {
    broken = true;
    Channels.close(channel);
  }

  void setReading(boolean reading) {
    if (channel.config().isAutoRead() != reading) {
      channel.config().setAutoRead(reading);
    }
  }

  /**
   * Ends the request on this connection without telling it, because nobody waits for it any more.
   */
  void abandon() {
    flow = null;
    broken = true;
    Channels.close(channel);
  }

  void close() {
    broken = true;
    Channels.close(channel);
  }

  private void breakOff(String reason) {
    broken = true;
    RequestFlow lost = flow;
    flow = null;
    Channels.close(channel);
    gate.closed(this, lost != null);
    if (lost != null) {
      lost.connectionLost(reason);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (!broken) {
      breakOff("connection closed");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // Reported before the decoder could take the end of the connection for the end of the answer.
    if (!broken) {
      breakOff("connection failed");
    }
  }
}
