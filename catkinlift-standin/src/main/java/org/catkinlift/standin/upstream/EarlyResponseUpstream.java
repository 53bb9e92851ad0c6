package org.catkinlift.standin.upstream;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.standin.FreePorts;

/**
 * An upstream that responds to a request without reading its body. The test says when the responses
 * begin and when they end. Each connection serves one request.
 */
public final class EarlyResponseUpstream implements Closeable {
  private static final int CONNECTION_BACKLOG = 50;

  /** Small, so that most of a body waits at the client. */
  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

  /** With SO_LINGER 0, closing resets the connection. */
  private static final int RESET_ON_CLOSE = 0;

  private final NetworkAddress address = FreePorts.findOne("127.0.0.1");
  private final ServerSocket server = new ServerSocket();
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
   * @param script returns the response to a request, given its {@code X-Request-Id}
   * @throws IOException if the address is in use
   */
  public EarlyResponseUpstream(Function<String, String> script) throws IOException {
    this.script = script;
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.bind(
        new InetSocketAddress(InetAddress.getByName(address.ip()), address.port()),
        CONNECTION_BACKLOG);
    start(this::accept);
  }

  private static void start(Runnable task) {
    var thread = new Thread(task, "early-response-upstream");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the address of the upstream. */
  public NetworkAddress address() {
    return address;
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

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The test has closed the server socket.
      responsesEnded.countDown();
    }
  }

  private void serve(Socket socket) {
    try {
      var in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String response = script.apply(readId(in));
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

  /** Reads the head of a request; returns its id, empty if it has none. */
  private static String readId(BufferedReader in) throws IOException {
    String id = "";
    String line = in.readLine();
    while (line != null && !line.isEmpty()) {
      if (line.toLowerCase(Locale.ROOT).startsWith("x-request-id:")) {
        id = line.substring(line.indexOf(':') + 1).trim();
      }
      line = in.readLine();
    }
    return id;
  }

  @Override
  public void close() throws IOException {
    beginResponses();
    responsesEnded.countDown();
    server.close();
  }
}
