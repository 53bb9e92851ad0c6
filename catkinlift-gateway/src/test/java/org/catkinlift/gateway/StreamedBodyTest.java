package org.catkinlift.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.catkinlift.gateway.GatewayFixture.KEYED;
import static org.catkinlift.gateway.GatewayFixture.SHARED;
import static org.catkinlift.gateway.GatewayFixture.upstream;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.catkinlift.gateway.GatewayFixture.Connection;
import org.catkinlift.model.NetworkAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against request bodies that are held whole, changed, cut, or followed by other bytes. */
final class StreamedBodyTest {
  private static final String BODY = "0123456789abcdef".repeat(20_000);
  private static final Duration LONGEST_SILENCE = Duration.ofMillis(1_300);
  private static final Duration MAX_WAIT = Duration.ofSeconds(10);

  /** Includes what the buffers of four sockets hold, which the system enlarges on demand. */
  private static final long MAX_TAKEN_BYTES = 40L << 20;

  private final GatewayFixture fixture = new GatewayFixture();
  private ServerSocket server;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    NetworkAddress address = NetworkAddress.of("127.0.0.1", server.getLocalPort());
    fixture.serve(upstream("u-1", SHARED, address), upstream("u-2", KEYED, address));
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
  }

  private static String head(String path, String framing) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 8000\r\n"
        + framing
        + "\r\n\r\n";
  }

  private static String ofLength(long length) {
    return head("/upload/a?b=c", "Content-Length: " + length);
  }

  private static String readHead(Socket socket) throws IOException {
    var head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        throw new IOException("connection ended in: " + head);
      }
      head.append((char) next);
    }
    return head.toString();
  }

  private static String read(Socket socket, int bytes) throws IOException {
    return new String(socket.getInputStream().readNBytes(bytes), StandardCharsets.ISO_8859_1);
  }

  private static void respond(Socket socket, String text) throws IOException {
    var unused = ScriptedUpstream.write(socket.getOutputStream(), text);
  }

  /** Counts the bytes until the connection ends in any way. */
  private static long countToEnd(InputStream in) {
    long count = 0;
    try {
      while (in.read() >= 0) {
        count++;
      }
    } catch (SocketTimeoutException e) {
      throw new AssertionError("connection not ended after " + count + " bytes", e);
    } catch (IOException e) {
      // The daemon resets connections that it gives up.
      return count;
    }
    return count;
  }

  @Test
  void longBodyReachesUpstreamUnchangedWithItsLength() throws Exception {
    try (Connection caller = fixture.connect()) {
      caller.send(ofLength(BODY.length()) + BODY);
      try (Socket upstream = server.accept()) {
        String head = readHead(upstream);
        assertThat(head).startsWith("POST /upload/a?b=c HTTP/1.1");
        assertThat(head.toLowerCase(Locale.ROOT)).contains("content-length: " + BODY.length());
        assertThat(read(upstream, BODY.length())).isEqualTo(BODY);
        respond(upstream, ScriptedUpstream.ok("r1", "done"));

        assertThat(caller.read().body()).isEqualTo("done");

        caller.send(ofLength(4) + "next");
        assertThat(readHead(upstream).toLowerCase(Locale.ROOT)).contains("content-length: 4");
        assertThat(read(upstream, 4)).isEqualTo("next");
      }
    }
  }

  @Test
  void longChunkedBodyReachesUpstreamInChunks() throws Exception {
    String chunks = Integer.toHexString(BODY.length()) + "\r\n" + BODY + "\r\n";
    try (Connection caller = fixture.connect()) {
      caller.send(head("/upload/a", "Transfer-Encoding: chunked") + chunks + "0\r\n\r\n");
      try (Socket upstream = server.accept()) {
        String head = readHead(upstream).toLowerCase(Locale.ROOT);
        assertThat(head).contains("transfer-encoding: chunked");
        assertThat(head).doesNotContain("content-length");
        var body = new StringBuilder();
        int length = readChunkLength(upstream);
        while (length > 0) {
          body.append(read(upstream, length));
          assertThat(read(upstream, 2)).isEqualTo("\r\n");
          length = readChunkLength(upstream);
        }
        assertThat(body.toString()).isEqualTo(BODY);
      }
    }
  }

  private static int readChunkLength(Socket socket) throws IOException {
    var line = new StringBuilder();
    while (line.indexOf("\r\n") < 0) {
      line.append(read(socket, 1));
    }
    return Integer.parseInt(line.toString().trim(), 16);
  }

  /** The upstream would take the next request for the rest of the body. */
  @Test
  void connectionIsClosedAfterResponseBeforeTheEndOfTheBody() throws Exception {
    try (Connection caller = fixture.connect()) {
      caller.send(ofLength(1_000_000) + BODY);
      try (Socket upstream = server.accept()) {
        String unused = readHead(upstream);
        respond(upstream, ScriptedUpstream.ok("r1", "early"));

        assertThat(caller.read().body()).isEqualTo("early");
        assertThat(countToEnd(upstream.getInputStream())).isAtMost(BODY.length());
        assertThat(caller.isClosedByServer()).isTrue();
      }
    }
  }

  @Test
  void upstreamLearnsThatTheCallerHasLeft() throws Exception {
    Socket upstream;
    try (Connection caller = fixture.connect()) {
      caller.send(ofLength(1_000_000) + BODY);
      upstream = server.accept();
      String unused = readHead(upstream);
    }
    try (upstream) {
      upstream.setSoTimeout((int) MAX_WAIT.toMillis());
      assertThat(countToEnd(upstream.getInputStream())).isAtMost(BODY.length());
    }
  }

  @Test
  void refusalAfterPartOfTheBodyIsNotRepeated() throws Exception {
    try (Connection caller = fixture.connect()) {
      caller.send(ofLength(1_000_000) + BODY);
      try (Socket upstream = server.accept()) {
        String unused = readHead(upstream);
        respond(
            upstream,
            "HTTP/1.1 503 X\r\nX-Request-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");

        var response = caller.read();
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.head().toLowerCase(Locale.ROOT)).contains("retry-after");
      }
    }
  }

  @Test
  void connectionLostAfterPartOfTheBodyIsReportedAsUnknown() throws Exception {
    try (Connection caller = fixture.connect()) {
      caller.send(ofLength(1_000_000) + BODY);
      try (Socket upstream = server.accept()) {
        String unused = readHead(upstream);
      }

      assertThat(caller.read().status()).isEqualTo(502);
    }
  }

  /** One caller that stops would keep all others from the upstream. */
  @Test
  void upstreamIsNotSilentWhileItsCallerStalls() throws Exception {
    try (Connection stalled = fixture.connect();
        Connection other = fixture.connect()) {
      stalled.send(ofLength(1_000_000) + BODY);
      try (Socket first = server.accept()) {
        String unused = readHead(first);
        TimeUnit.NANOSECONDS.sleep(LONGEST_SILENCE.toNanos());
        other.send(GatewayFixture.get("/lookup/a", "r2", ""));
        try (Socket second = server.accept()) {
          for (int i = 2; i < 5; i++) {
            assertThat(readHead(second)).contains("r" + i);
            respond(second, ScriptedUpstream.ok("r" + i, "done"));
            assertThat(other.read().status()).isEqualTo(200);
            other.send(GatewayFixture.get("/lookup/a", "r" + (i + 1), ""));
          }
        }
      }
    }
  }

  @Test
  void readsNoMoreThanTheUpstreamTakes() throws Exception {
    var sentBytes = new AtomicLong();
    try (Connection caller = fixture.connect()) {
      caller.send(ofLength(64L << 20));
      Thread.ofPlatform().daemon().start(() -> sendUntilClosed(caller, sentBytes));
      try (Socket upstream = server.accept()) {
        String unused = readHead(upstream);
        long before = -1;
        while (sentBytes.get() != before) {
          before = sentBytes.get();
          TimeUnit.MILLISECONDS.sleep(500);
        }

        assertThat(sentBytes.get()).isLessThan(MAX_TAKEN_BYTES);
      }
    }
  }

  private static void sendUntilClosed(Connection caller, AtomicLong sentBytes) {
    try {
      while (sentBytes.get() < 64L << 20) {
        caller.send(BODY);
        sentBytes.addAndGet(BODY.length());
      }
    } catch (IOException e) {
      // The test has ended.
      sentBytes.get();
    }
  }

  @Test
  void continueIsSentOnlyIfTheBodyIsWanted() throws Exception {
    try (Connection caller = fixture.connect()) {
      caller.send(head("/none/a", "Content-Length: 4\r\nExpect: 100-continue"));
      assertThat(caller.read().status()).isEqualTo(404);
      assertThat(caller.isClosedByServer()).isTrue();
    }
    try (Connection caller = fixture.connect()) {
      caller.send(head("/upload/a", "Content-Length: 4\r\nExpect: 100-continue"));
      assertThat(caller.read().status()).isEqualTo(100);
    }
  }

  /** A reset could reach the caller before the response. */
  @Test
  void refusalIsReadableWhileTheBodyIsSent() throws Exception {
    try (Connection caller = fixture.connect()) {
      caller.send(head("/none/a", "Content-Length: 1000000"));
      caller.send(BODY);
      assertThat(caller.read().status()).isEqualTo(404);
    }
  }

  @Test
  void connectionIsReusableAfterRefusalOfShortBody() throws Exception {
    try (Connection caller = fixture.connect()) {
      caller.send(head("/none/a", "Content-Length: 4"));
      assertThat(caller.read().status()).isEqualTo(404);
      caller.send("body" + GatewayFixture.get("/none/b", "r2", ""));
      assertThat(caller.read().head()).contains("r2");
    }
  }
}
