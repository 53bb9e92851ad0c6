package org.catkinlift.standin.upstream;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.catkinlift.model.NetworkAddress;

/**
 * An upstream that replies to a request with bytes that do not end before the connection is closed.
 */
public final class EndlessUpstream implements Closeable {
  /** A client that reads as many bytes of one reply is taken for one that never stops. */
  public static final long MAX_SENT_BYTES = 400L << 20;

  private static final int BLOCK_BYTES = 16 << 10;

  private final SocketServer server;
  private final Function<String, Reply> script;
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicLong sentBytes = new AtomicLong();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final CountDownLatch firstClosed = new CountDownLatch(1);
  private final CountDownLatch stopped = new CountDownLatch(1);

  /**
   * The bytes of a reply.
   *
   * @param start sent first
   * @param repeated sent again and again after the start; empty for a reply that ends
   * @param interval the time between repetitions; zero to send as fast as the client reads
   */
  public record Reply(String start, String repeated, Duration interval) {
    /** Returns a reply that is sent as fast as the client reads. */
    public static Reply fast(String start, String repeated) {
      return new Reply(start, repeated, Duration.ZERO);
    }

    /** Returns a reply that ends. */
    public static Reply complete(String text) {
      return fast(text, "");
    }
  }

  /**
   * Starts the upstream.
   *
   * @param script returns the reply to a request, given its {@code X-Request-Id} or else its target
   * @throws IOException if the address is in use
   */
  public EndlessUpstream(Function<String, Reply> script) throws IOException {
    this.script = script;
    this.server =
        new SocketServer("endless-upstream", SocketServer.SYSTEM_BUFFER_SIZE, this::serve);
  }

  /** Returns the address of the upstream. */
  public NetworkAddress address() {
    return server.address();
  }

  /** Returns the number of requests received. */
  public int requests() {
    return requests.get();
  }

  /** Returns the number of bytes that the clients' connections have taken. */
  public long sentBytes() {
    return sentBytes.get();
  }

  /** Returns the number of connections that are open. */
  public int openConnections() {
    return openConnections.get();
  }

  /**
   * Waits until a connection has been closed.
   *
   * @param limit the longest time to wait
   * @return whether one has been closed
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean awaitClosed(Duration limit) throws InterruptedException {
    return firstClosed.await(limit.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void serve(Socket socket) {
    openConnections.incrementAndGet();
    try (socket) {
      var in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      Optional<RequestHead> request = RequestHead.read(in);
      while (request.isPresent()) {
        discard(in, request.get().contentLength());
        requests.incrementAndGet();
        send(script.apply(request.get().id()), socket.getOutputStream());
        request = RequestHead.read(in);
      }
    } catch (IOException e) {
      // The client has reset the connection.
      firstClosed.countDown();
    }
    openConnections.decrementAndGet();
    firstClosed.countDown();
  }

  private static void discard(BufferedReader in, int length) throws IOException {
    for (int i = 0; i < length; i++) {
      in.read();
    }
  }

  private void send(Reply reply, OutputStream out) throws IOException {
    write(out, reply.start());
    if (reply.repeated().isEmpty()) {
      return;
    }
    boolean fast = reply.interval().isZero();
    String block =
        fast
            ? reply.repeated().repeat(Math.max(1, BLOCK_BYTES / reply.repeated().length()))
            : reply.repeated();
    for (long sent = 0; sent < MAX_SENT_BYTES; sent += block.length()) {
      pause(reply.interval());
      write(out, block);
    }
  }

  private void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
    sentBytes.addAndGet(text.length());
  }

  /** Waits between two parts of a slow reply, which ends when the upstream is closed. */
  private void pause(Duration interval) throws IOException {
    try {
      if (stopped.await(interval.toNanos(), TimeUnit.NANOSECONDS)) {
        throw new IOException("upstream closed");
      }
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  @Override
  public void close() throws IOException {
    stopped.countDown();
    firstClosed.countDown();
    server.close();
  }
}
