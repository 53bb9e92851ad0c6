package org.catkinlift.gateway.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Stream;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.standin.upstream.EarlyResponseUpstream;
import org.catkinlift.standin.upstream.EndlessUpstream;
import org.catkinlift.standin.upstream.EndlessUpstream.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against servers whose replies to short calls have no end, or are followed by bytes. */
final class TextHttpClientTest {
  private static final Duration MAX_WAIT = Duration.ofSeconds(20);

  /** Includes what the buffers of two sockets hold, which the system enlarges on demand. */
  private static final long MAX_TAKEN_BYTES = 50L << 20;

  /** More than the buffers of the sockets between the client and the server hold. */
  private static final int LONG_BODY_BYTES = 32 << 20;

  private static final long RESPONSE_MILLIS = 400;
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final ByteArrayOutputStream log = new ByteArrayOutputStream();
  private final EventLog eventLog = EventLog.start("test", log);
  private final TextHttpClient client = new TextHttpClient(loop, eventLog);

  @AfterEach
  void stop() throws Exception {
    eventLog.close();
    var unused = loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private CallResult call(EndlessUpstream server, String target, Duration timeout)
      throws Exception {
    var result = new CompletableFuture<CallResult>();
    HttpCall call =
        HttpCall.to(server.address())
            .request("GET", target)
            .timeout(timeout)
            .connectTimeout(MAX_WAIT)
            .build();
    loop.execute(() -> client.call(call, result::complete));
    return result.get(MAX_WAIT.toSeconds(), TimeUnit.SECONDS);
  }

  private static Stream<Arguments> endlessForms() {
    String head = "HTTP/1.1 200 OK\r\n";
    String chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return Stream.of(
        arguments("no line", "", "x"),
        arguments("blank lines", "", "\r\n"),
        arguments("status line", "HTTP/1.1 200 ", "x"),
        arguments("header line", head + "X-A: ", "x"),
        arguments("headers", head, "X-A: x\r\n"),
        arguments("informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n"),
        arguments("other protocol", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", "x"),
        arguments("body", head + "\r\n", "x"),
        arguments("body of a length", head + "Content-Length: 900000000\r\n\r\n", "x"),
        arguments("chunks", chunked, "5\r\nwhole\r\n"),
        arguments("chunk size", chunked, "0"),
        arguments("chunk extension", chunked + "5;", "x"),
        arguments("trailers", chunked + "0\r\n", "X-A: x\r\n"));
  }

  /** A grant or release would count as confirmed, or megabytes would be collected. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("endlessForms")
  void endlessReplyIsNoAnswer(String form, String start, String repeated) throws Exception {
    try (var server = new EndlessUpstream(target -> Reply.fast(start, repeated))) {
      CallResult result = call(server, form.replace(' ', '-'), MAX_WAIT);

      assertThat(result).isInstanceOf(CallResult.Unanswered.class);
      assertThat(server.awaitClosed(MAX_WAIT)).isTrue();
      assertThat(server.sentBytes()).isLessThan(MAX_TAKEN_BYTES);
      awaitLogged("event=2007");
    }
  }

  private void awaitLogged(String text) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + MAX_WAIT.toNanos();
    while (!log.toString(StandardCharsets.UTF_8).contains(text)) {
      assertThat(System.nanoTime()).isLessThan(deadlineNanos);
      Thread.sleep(20);
    }
  }

  /** A reply of a few bytes could fill megabytes. */
  @Test
  void replyLongerThanExpectedIsNoAnswer() throws Exception {
    String reply = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + "x".repeat(100_000);
    try (var server = new EndlessUpstream(target -> Reply.complete(reply))) {
      assertThat(call(server, "/a", MAX_WAIT)).isInstanceOf(CallResult.Unanswered.class);
      awaitLogged("event=2007");
    }
  }

  /** The caller would wait as long as now and then a byte comes. */
  @Test
  void slowReplyEndsWithTimeout() throws Exception {
    var slow = new Reply("HTTP/1.1 200 OK\r\n\r\n", "x", Duration.ofMillis(20));
    try (var server = new EndlessUpstream(target -> slow)) {
      assertThat(call(server, "/a", Duration.ofSeconds(1)))
          .isInstanceOf(CallResult.Unanswered.class);
      assertThat(server.awaitClosed(MAX_WAIT)).isTrue();
    }
  }

  /** The next call on the connection would get these bytes as its answer. */
  @Test
  void connectionIsClosedWhenBytesFollowAnswer() throws Exception {
    Function<String, Reply> script =
        target -> Reply.complete(target.equals("/a") ? OK + "HTTP/1.1 409 Conflict\r\nX-A: " : OK);
    try (var server = new EndlessUpstream(script)) {
      assertThat(call(server, "/a", MAX_WAIT)).isInstanceOf(CallResult.Answered.class);
      assertThat(((CallResult.Answered) call(server, "/b", MAX_WAIT)).status()).isEqualTo(200);
      awaitLogged("event=2007");
    }
  }

  /** The call would end with it, and the next call would get the answer to this one. */
  @Test
  void informationalResponseIsNotTheAnswer() throws Exception {
    String early = "HTTP/1.1 102 Processing\r\n\r\n";
    try (var server = new EndlessUpstream(target -> Reply.complete(early + OK))) {
      assertThat(((CallResult.Answered) call(server, "/a", MAX_WAIT)).status()).isEqualTo(200);
    }
  }

  /** A grant or release would count as confirmed although its response was cut. */
  @Test
  void responseThatIsResetDuringCallIsNoAnswer() throws Exception {
    try (var server = new EarlyResponseUpstream(id -> "HTTP/1.1 200 OK\r\n\r\npart")) {
      var result = new CompletableFuture<CallResult>();
      HttpCall call =
          HttpCall.to(server.address())
              .request("POST", "/a")
              .body("x".repeat(LONG_BODY_BYTES))
              .timeout(MAX_WAIT)
              .connectTimeout(MAX_WAIT)
              .build();
      loop.execute(() -> client.call(call, result::complete));
      server.beginResponses();
      // Nothing shows that the client has read the part.
      Thread.sleep(RESPONSE_MILLIS);
      server.endResponses(EarlyResponseUpstream.End.RESET);

      assertThat(result.get(MAX_WAIT.toSeconds(), TimeUnit.SECONDS))
          .isInstanceOf(CallResult.Unanswered.class);
    }
  }

  /** A call that may have been carried out would count as refused. */
  @Test
  void responseWithInvalidStatusIsNoAnswer() throws Exception {
    assertMalformed("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n");
  }

  /** A grant would count as confirmed, or the handover of a release would be another one. */
  @ParameterizedTest
  @ValueSource(strings = {"X-A : x", "X\tA: x", "X-Handover : h", "X\u0000A: x", "X-A"})
  void responseWithInvalidFieldNameIsNoAnswer(String line) throws Exception {
    assertMalformed("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 0\r\n\r\n");
  }

  private void assertMalformed(String response) throws Exception {
    try (var server = new EndlessUpstream(target -> Reply.complete(response))) {
      assertThat(call(server, "/a", MAX_WAIT)).isInstanceOf(CallResult.Unanswered.class);
      awaitLogged("event=2007");
    }
  }

  /** A grant would be sent after the end of the role under which it was decided. */
  @Test
  void callIsNotSentWhenItsConditionEndsWhileConnecting() throws Exception {
    try (var server = new EndlessUpstream(target -> Reply.complete(OK))) {
      var result = new CompletableFuture<CallResult>();
      var asked = new AtomicInteger();
      HttpCall call =
          HttpCall.to(server.address()).sendCondition(() -> asked.incrementAndGet() == 1).build();
      loop.execute(() -> client.call(call, result::complete));

      assertThat(result.get(MAX_WAIT.toSeconds(), TimeUnit.SECONDS))
          .isInstanceOf(CallResult.NotSent.class);
    }
  }
}
