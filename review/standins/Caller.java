import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A client with one kept connection to a daemon. */
final class Caller implements AutoCloseable {
  private static final AtomicInteger NEXT = new AtomicInteger();

  /** To which daemon each request was sent. */
  private static final Map<String, String> SENDERS = new ConcurrentHashMap<>();

  private static final Set<String> SERVED = ConcurrentHashMap.newKeySet();

  private final Record record;
  private final Daemon daemon;
  private final String host;
  private String lastId = "";
  private Socket socket;
  private InputStream in;

  Caller(Record record, Daemon daemon, String host) {
    this.record = record;
    this.daemon = daemon;
    this.host = host;
  }

  /** Returns a new request id, which tells orders from other requests. */
  private static String nextId(String method) {
    return (method.equals("POST") ? "order%06d" : "r%06d").formatted(NEXT.incrementAndGet());
  }

  /** Returns whether a request was answered with success. */
  static boolean isServed(String requestId) {
    return SERVED.contains(requestId);
  }

  static boolean isOrder(String requestId) {
    return requestId.startsWith("order");
  }

  /** Returns the name of the daemon to which a request was sent. */
  static String daemonOf(String requestId) {
    return SENDERS.getOrDefault(requestId, "");
  }

  /** Returns the id of the request that was sent last. */
  String lastId() {
    return lastId;
  }

  /** Sends a request and returns the status of its answer; 0 if the connection ended first. */
  int send(String method, String path, int key, long deadlineMillis, byte[] body) {
    String id = nextId(method);
    lastId = id;
    SENDERS.put(id, daemon.name);
    try {
      if (socket == null) {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", daemon.frontPort), 1_000);
        in = Http.buffered(socket.getInputStream());
      }
      record.add("caller: sends %s to %s, key %d", id, daemon.name, key);
      String head =
          "%s %s HTTP/1.1\r\nHost: %s\r\n".formatted(method, path, host)
              + "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n".formatted(id, deadlineMillis)
              + (key < 0 ? "" : "X-Shard-Key: " + key + "\r\n")
              + (body.length == 0 ? "" : "Content-Length: " + body.length + "\r\n")
              + "\r\n";
      socket.setSoTimeout((int) deadlineMillis + 1_000);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(body);
      socket.getOutputStream().flush();
      Http.Message answer = Http.read(in);
      if (answer == null) {
        throw new IOException("connection ended without an answer");
      }
      record.add("caller: %s answered %d", id, answer.status());
      if (answer.status() == 200) {
        SERVED.add(id);
      }
      if ("close".equalsIgnoreCase(answer.header("Connection"))) {
        close();
      }
      return answer.status();
    } catch (IOException e) {
      record.add("caller: %s has no answer: %s", id, e.getMessage());
      close();
      return 0;
    }
  }

  @Override
  public void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // Closed all the same.
    }
    socket = null;
  }
}
