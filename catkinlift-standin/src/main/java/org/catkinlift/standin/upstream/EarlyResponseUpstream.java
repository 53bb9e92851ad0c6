package org.catkinlift.standin.upstream;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.catkinlift.model.NetworkAddress;

/**
 * An upstream that responds to a request without reading its body. The test says when the responses
 * begin and when they end. Each connection serves one request.
 */
public final class EarlyResponseUpstream implements Closeable {
  /** Small, so that most of a body waits at the client. */
  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

  /** With SO_LINGER 0, closing resets the connection. */
  private static final int RESET_ON_CLOSE = 0;

  private final SocketServer server;
  private final Function<String, String> script;
  private final AtomicInteger requests = new AtomicInteger();
  private final CountDownLatch responsesBegun = new CountDownLatch(1);
  private final CountDownLatch responsesEnded = new CountDownLatch(1);
  private volatile End end = End.RESET;

  /** How the connection of a response ends. */
  public enum End {
    /** The connection is reset. */
    RESET,
    /** The output ends, and the connection stays open. */
    END_OF_OUTPUT
  }

  /**
   * Starts the upstream.
   *
   * @param script returns the response to a request, given its {@code X-Request-Id} or else its
   *     target
   * @throws IOException if the address is in use
   */
  public EarlyResponseUpstream(Function<String, String> script) throws IOException {
    this.script = script;
    this.server = new SocketServer("early-response-upstream", RECEIVE_BUFFER_BYTES, this::serve);
  }

  /** Returns the address of the upstream. */
  public NetworkAddress address() {
    return server.address();
  }

  /** Returns the number of requests whose head was received. */
  public int requests() {
    return requests.get();
  }

  /** Sends all responses, also those to later requests. */
  public void beginResponses() {
    responsesBegun.countDown();
  }

  /** Ends all responses, also those to later requests. */
  public void endResponses(End how) {
    end = how;
    responsesEnded.countDown();
  }

  private void serve(Socket socket) {
    try {
      var in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String response = RequestHead.read(in).map(RequestHead::id).map(script).orElse("");
      requests.incrementAndGet();
      responsesBegun.await();
      socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
      responsesEnded.await();
      switch (end) {
        case RESET -> {
          socket.setSoLinger(true, RESET_ON_CLOSE);
          socket.close();
        }
        case END_OF_OUTPUT -> socket.shutdownOutput();
      }
    } catch (IOException e) {
      // The client has closed the connection.
      requests.get();
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  @Override
  public void close() throws IOException {
    beginResponses();
    responsesEnded.countDown();
    server.close();
  }
}
