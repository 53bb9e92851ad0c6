package org.catkinlift.gateway.http;

import com.google.common.collect.ImmutableMap;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.catkinlift.model.NetworkAddress;

/**
 * Makes short HTTP calls on one event loop.
 *
 * <p>A connection whose call had no answer is closed, because a silent connection stays silent.
 * Must be used on its event loop; results arrive there too.
 */
public final class HttpCaller {
  private static final int LARGEST_ANSWER_BYTES = 16 << 20;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(800);

  /** Shorter than the time after which any peer closes an idle connection. */
  private static final Duration LONGEST_IDLE = Duration.ofSeconds(3);

  /** Closing resets the connection and discards what was not delivered. */
  private static final int DISCARD_ON_CLOSE = 0;

  private final EventLoop loop;
  private final Map<NetworkAddress, Deque<Link>> idle = new HashMap<>();

  /**
   * Creates a client.
   *
   * @param loop the event loop that carries the calls
   */
  public HttpCaller(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Makes a call.
   *
   * @param call the call
   * @param done takes the result, exactly once
   */
  public void call(HttpCall call, Consumer<CallResult> done) {
    Link link = takeIdle(call.address());
    if (link != null) {
      link.begin(call, done);
      return;
    }
    connect(call, done);
  }

  private Link takeIdle(NetworkAddress address) {
    Deque<Link> links = idle.get(address);
    while (links != null && !links.isEmpty()) {
      Link link = links.pop();
      if (link.channel.isActive() && System.nanoTime() - link.idleSince < LONGEST_IDLE.toNanos()) {
        return link;
      }
      Channels.close(link.channel);
    }
    return null;
  }

  private void connect(HttpCall call, Consumer<CallResult> done) {
    var link = new Link(call.address());
    long limit = Math.min(CONNECT_TIMEOUT.toMillis(), call.sendWithin().toMillis());
    long startNanos = System.nanoTime();
    ChannelFuture connected =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, limit))
            .option(ChannelOption.TCP_NODELAY, true)
            // A call that was given up must not arrive once a partition has healed.
            .option(ChannelOption.SO_LINGER, DISCARD_ON_CLOSE)
            .handler(new LinkInitializer(link))
            .connect(call.address().ip(), call.address().port());
    connected.addListener(
        c -> {
          boolean late = System.nanoTime() - startNanos > call.sendWithin().toNanos();
          if (c.isSuccess() && late) {
            Channels.close(connected.channel());
            done.accept(new CallResult.NotSent("connected too late"));
          } else if (c.isSuccess()) {
            link.channel = connected.channel();
            link.begin(call, done);
          } else {
            done.accept(new CallResult.NotSent(String.valueOf(c.cause().getMessage())));
          }
        });
  }

  private static final class LinkInitializer extends ChannelInitializer<Channel> {
    private final Link link;

    private LinkInitializer(Link link) {
      this.link = link;
    }

    @Override
    protected void initChannel(Channel channel) {
      channel
          .pipeline()
          .addLast(new HttpClientCodec(), new HttpObjectAggregator(LARGEST_ANSWER_BYTES), link);
    }
  }

  /** One connection. */
  private final class Link extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final NetworkAddress address;
    private Channel channel;
    private Consumer<CallResult> waiting;
    private ScheduledFuture<?> timeout;
    private long idleSince;

    private Link(NetworkAddress address) {
      this.address = address;
    }

    private void begin(HttpCall call, Consumer<CallResult> done) {
      byte[] body = call.body().getBytes(StandardCharsets.UTF_8);
      waiting = done;
      timeout =
          loop.schedule(
              () -> fail("no answer within " + call.timeout().toMillis() + " ms"),
              call.timeout().toNanos(),
              TimeUnit.NANOSECONDS);
      var request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(call.method()),
              call.target(),
              Unpooled.wrappedBuffer(body));
      request.headers().set(HttpHeaderNames.HOST, call.address().toString());
      if (body.length > 0) {
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
      }
      call.headers().forEach((name, value) -> request.headers().set(name, value));
      Channels.writeAndFlush(channel, request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
      ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
      answer.headers().forEach(h -> headers.put(h.getKey().toLowerCase(Locale.ROOT), h.getValue()));
      var result =
          new CallResult.Answered(
              answer.status().code(),
              headers.buildKeepingLast(),
              answer.content().toString(StandardCharsets.UTF_8));
      if (HttpUtil.isKeepAlive(answer) && waiting != null) {
        idleSince = System.nanoTime();
        idle.computeIfAbsent(address, a -> new ArrayDeque<>()).push(this);
      } else {
        Channels.close(context.channel());
      }
      end(result);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      Deque<Link> links = idle.get(address);
      if (links != null) {
        links.remove(this);
      }
      end(new CallResult.Unanswered("connection closed"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      fail(String.valueOf(cause.getMessage()));
    }

    private void fail(String reason) {
      end(new CallResult.Unanswered(reason));
      Channels.close(channel);
    }

    private void end(CallResult result) {
      if (waiting == null) {
        return;
      }
      Consumer<CallResult> done = waiting;
      waiting = null;
      timeout.cancel(false);
      done.accept(result);
    }
  }
}
