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
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
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
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.logging.TaskGuard;
import org.catkinlift.http.ResponseDecoder;
import org.catkinlift.model.NetworkAddress;

/**
 * An HTTP client for short text bodies that runs on one event loop.
 *
 * <p>A connection is closed after a call without a response, because a connection that has gone
 * silent does not recover, and when bytes arrive that belong to no response. Must be used on its
 * event loop, which also runs the callbacks.
 */
public final class TextHttpClient {
  private static final int MAX_BODY_BYTES = HttpCall.MAX_RESPONSE_BYTES;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(800);

  /** Shorter than the idle timeout of any server that is called. */
  private static final Duration MAX_IDLE = Duration.ofSeconds(3);

  /** With SO_LINGER 0, closing resets the connection and discards undelivered data. */
  private static final int DISCARD_ON_CLOSE = 0;

  private static final int INFORMATIONAL_CLASS = 1;

  private static final String CONDITION_ENDED = "call no longer allowed";

  private final EventLoop loop;
  private final EventLog log;
  private final TaskGuard guard;
  private final Map<NetworkAddress, Deque<Connection>> idleConnections = new HashMap<>();

  /**
   * Creates a client.
   *
   * @param loop the event loop that runs the connections and callbacks
   * @param log the event log
   */
  public TextHttpClient(EventLoop loop, EventLog log) {
    this.loop = loop;
    this.log = log;
    this.guard = new TaskGuard(log);
  }

  /**
   * Sends a request.
   *
   * @param call the request
   * @param callback called exactly once with the result
   */
  public void call(HttpCall call, Consumer<CallResult> callback) {
    start(call, result -> guard.accept(callback, result));
  }

  private void start(HttpCall call, Consumer<CallResult> callback) {
    if (!call.sendCondition().getAsBoolean()) {
      callback.accept(new CallResult.NotSent(CONDITION_ENDED));
      return;
    }
    Connection connection = call.ownConnection() ? null : takeIdle(call.address());
    if (connection != null) {
      connection.send(call, callback);
      return;
    }
    connect(call, callback);
  }

  private Connection takeIdle(NetworkAddress address) {
    Deque<Connection> connections = idleConnections.get(address);
    while (connections != null && !connections.isEmpty()) {
      Connection connection = connections.pop();
      if (connection.channel.isActive()
          && System.nanoTime() - connection.idleSinceNanos < MAX_IDLE.toNanos()) {
        return connection;
      }
      Channels.close(connection.channel);
    }
    return null;
  }

  private void connect(HttpCall call, Consumer<CallResult> callback) {
    var connection = new Connection(call.address());
    long timeoutMillis = Math.min(CONNECT_TIMEOUT.toMillis(), call.connectTimeout().toMillis());
    long startNanos = System.nanoTime();
    ChannelFuture connected =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, timeoutMillis))
            .option(ChannelOption.TCP_NODELAY, true)
            // An abandoned call must not be delivered after a network partition has healed.
            .option(ChannelOption.SO_LINGER, DISCARD_ON_CLOSE)
            .handler(new ConnectionInitializer(connection))
            .connect(call.address().ip(), call.address().port());
    connected.addListener(
        c -> {
          boolean timedOut = System.nanoTime() - startNanos > call.connectTimeout().toNanos();
          if (c.isSuccess() && timedOut) {
            Channels.close(connected.channel());
            callback.accept(new CallResult.NotSent("connection not established in time"));
          } else if (c.isSuccess() && !call.sendCondition().getAsBoolean()) {
            Channels.close(connected.channel());
            callback.accept(new CallResult.NotSent(CONDITION_ENDED));
          } else if (c.isSuccess()) {
            connection.channel = connected.channel();
            connection.send(call, callback);
          } else {
            callback.accept(new CallResult.NotSent(String.valueOf(c.cause().getMessage())));
          }
        });
  }

  private static final class ConnectionInitializer extends ChannelInitializer<Channel> {
    private final Connection connection;

    private ConnectionInitializer(Connection connection) {
      this.connection = connection;
    }

    @Override
    protected void initChannel(Channel channel) {
      channel
          .pipeline()
          .addLast(
              connection.byteLimit,
              connection.decoder,
              new HttpRequestEncoder(),
              new HttpObjectAggregator(MAX_BODY_BYTES),
              connection);
    }
  }

  /** A connection with at most one call in progress. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final NetworkAddress address;
    private final InboundByteLimit byteLimit = new InboundByteLimit();
    private final ResponseDecoder decoder = new ResponseDecoder();
    private Channel channel;
    private Consumer<CallResult> pendingCallback;
    private boolean reusable;
    private ScheduledFuture<?> timeout;
    private long idleSinceNanos;

    private Connection(NetworkAddress address) {
      this.address = address;
    }

    private void send(HttpCall call, Consumer<CallResult> callback) {
      byte[] body = call.body().getBytes(StandardCharsets.UTF_8);
      pendingCallback = callback;
      reusable = !call.ownConnection();
      byteLimit.allow(call.maxResponseBytes());
      timeout =
          loop.schedule(
              () -> fail("no response within " + call.timeout().toMillis() + " ms"),
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
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      if (response.decoderResult().isFailure()) {
        rejectBytes("malformed answer");
        return;
      }
      if (response.status().code() / 100 == INFORMATIONAL_CLASS) {
        return;
      }
      boolean followedByBytes = decoder.hasUnreadBytes();
      if (followedByBytes) {
        logUnexpectedBytes("bytes after the end of an answer");
      }
      byteLimit.allow(InboundByteLimit.NONE);
      ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
      response
          .headers()
          .forEach(h -> headers.put(h.getKey().toLowerCase(Locale.ROOT), h.getValue()));
      var result =
          new CallResult.Answered(
              response.status().code(),
              headers.buildKeepingLast(),
              response.content().toString(StandardCharsets.UTF_8));
      boolean keepOpen = reusable && HttpUtil.isKeepAlive(response) && !followedByBytes;
      if (keepOpen && pendingCallback != null) {
        idleSinceNanos = System.nanoTime();
        idleConnections.computeIfAbsent(address, a -> new ArrayDeque<>()).push(this);
      } else {
        Channels.close(context.channel());
      }
      complete(result);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      Deque<Connection> connections = idleConnections.get(address);
      if (connections != null) {
        connections.remove(this);
      }
      complete(new CallResult.Unanswered("connection closed"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (cause instanceof UnexpectedBytesException || cause instanceof TooLongFrameException) {
        rejectBytes(String.valueOf(cause.getMessage()));
      } else {
        fail(String.valueOf(cause.getMessage()));
      }
    }

    private void rejectBytes(String reason) {
      logUnexpectedBytes(pendingCallback == null ? "bytes without a call" : reason);
      fail(reason);
    }

    private void logUnexpectedBytes(String reason) {
      log.log(EventCode.UNEXPECTED_BYTES, ImmutableMap.of("address", address, "reason", reason));
    }

    private void fail(String reason) {
      complete(new CallResult.Unanswered(reason));
      Channels.close(channel);
    }

    private void complete(CallResult result) {
      if (pendingCallback == null) {
        return;
      }
      Consumer<CallResult> callback = pendingCallback;
      pendingCallback = null;
      timeout.cancel(false);
      callback.accept(result);
    }
  }
}
