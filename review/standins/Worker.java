import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker, as PROTOCOL.md says: requests, health, grants and releases. */
final class Worker {
  private static final int QUEUE = 16;

  final String id;
  final String service;
  final String zone;
  final long bornMillis = System.currentTimeMillis();

  /** How long one request takes. */
  volatile long workMillis;

  /** How long a request takes whose path ends with "/large"; 0 if as long as others. */
  volatile long largeWorkMillis;

  /** The next answer to a grant is followed by a copy, at the point of the next answer. */
  final AtomicBoolean repeatNextGrantAnswer = new AtomicBoolean();

  private final int slotCount;
  private final boolean sharded;
  private final Record record;
  private final Listener listener;
  private final ServerSocket server;
  private final Semaphore slots;
  private final AtomicInteger queued = new AtomicInteger();
  private final AtomicInteger answers = new AtomicInteger();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Set<String> running = ConcurrentHashMap.newKeySet();
  private final List<Hold> holds = new ArrayList<>();
  private final List<Hold> seen = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();

  /** Keys that were granted, or released under a fencing token. */
  private record Hold(int from, int to, long fence, long expiryNanos) {
    boolean contains(int key) {
      return from <= key && key <= to;
    }

    boolean overlaps(int otherFrom, int otherTo) {
      return from <= otherTo && otherFrom <= to;
    }
  }

  /** A request at work; {@code holdExpiryNanos} is when the hold under which it began runs out. */
  record Run(String requestId, int key, long holdExpiryNanos) {}

  /** Told what happens at a worker. */
  interface Listener {
    default void arrived(Worker worker, String requestId) {}

    default void began(Worker worker, String requestId) {}

    default void granted(Worker worker, int from, int to, long fence) {}
  }

  Worker(
      Record record,
      Listener listener,
      String id,
      String service,
      String zone,
      int slotCount,
      boolean sharded,
      long workMillis)
      throws IOException {
    this.record = record;
    this.listener = listener;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slotCount = slotCount;
    this.sharded = sharded;
    this.workMillis = workMillis;
    this.slots = new Semaphore(slotCount, true);
    this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Thread.startVirtualThread(this::accept);
  }

  /** Returns the entry that the worker writes to the store. */
  String entry(String state, long coldLeftMillis) {
    return "{\"address\":\"127.0.0.1:%d\",\"born\":%d,".formatted(server.getLocalPort(), bornMillis)
        + "\"info\":{\"service\":\"%s\",\"config_version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},"
            .formatted(service, zone, slotCount)
        + "\"status\":{\"state\":\"%s\",\"seq\":1,\"cold_left\":\"%dms\"}}"
            .formatted(state, coldLeftMillis);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        Thread.startVirtualThread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    byte[] repeated = null;
    try (socket) {
      InputStream in = Http.buffered(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Http.Message request = Http.read(in);
        if (request == null) {
          return;
        }
        if (repeated != null) {
          record.add("%s: sends its answer to the grant before once more", id);
          out.write(repeated);
          out.flush();
          repeated = null;
        }
        byte[] answer = answer(request);
        out.write(answer);
        out.flush();
        answers.incrementAndGet();
        boolean granted = request.path().equals("/grant") && isSuccess(answer);
        if (granted && repeatNextGrantAnswer.compareAndSet(true, false)) {
          repeated = answer;
        }
      }
    } catch (IOException e) {
      // The other side closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  int answers() {
    return answers.get();
  }

  private static boolean isSuccess(byte[] answer) {
    return new String(answer, 0, 12, StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
  }

  private byte[] answer(Http.Message request) throws IOException, InterruptedException {
    String expected = request.header("X-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      return response(421, "X-Instance-Id: " + id + "\r\nX-Not-Executed: 1\r\n", "");
    }
    return switch (request.path()) {
      case "/grant" -> grant(Store.JSON.readTree(request.text()), idOf(request));
      case "/release" -> release(Store.JSON.readTree(request.text()), idOf(request));
      case "/health" -> response(200, load() + "X-Instance-Id: " + id + "\r\n", "");
      default -> run(request);
    };
  }

  /** Returns the header that repeats the id of a request, if it has one. */
  private static String idOf(Http.Message request) {
    String requestId = request.header("X-Request-Id");
    return requestId == null ? "" : "X-Request-Id: " + requestId + "\r\n";
  }

  private String load() {
    return "X-Server-Load: %d,%d,%d\r\n"
        .formatted(slotCount - slots.availablePermits(), queued.get(), slotCount);
  }

  private byte[] run(Http.Message request) throws InterruptedException {
    String requestId = request.header("X-Request-Id");
    String echo = "X-Request-Id: " + requestId + "\r\n" + load();
    int key = sharded ? Integer.parseInt(request.header("X-Shard-Key")) : -1;
    if (sharded && expiryOf(key) == 0) {
      return response(421, echo + "X-Not-Executed: 1\r\n", "");
    }
    record.add("%s: request %s arrives, key %d", id, requestId, key);
    listener.arrived(this, requestId);
    long endNanos = System.nanoTime() + Long.parseLong(request.header("X-Deadline-Ms")) * 1_000_000;
    if (queued.incrementAndGet() > QUEUE) {
      queued.decrementAndGet();
      return response(503, echo + "X-Not-Executed: 1\r\n", "");
    }
    slots.acquire();
    queued.decrementAndGet();
    try {
      if (System.nanoTime() > endNanos) {
        return response(503, echo + "X-Not-Executed: 1\r\n", "");
      }
      Run run = sharded ? begin(requestId, key) : new Run(requestId, key, 0);
      if (run == null) {
        return response(421, echo + "X-Not-Executed: 1\r\n", "");
      }
      record.add("%s: runs %s, key %d", id, requestId, key);
      running.add(requestId);
      listener.began(this, requestId);
      boolean isLarge = largeWorkMillis > 0 && request.path().endsWith("/large");
      long work = isLarge ? largeWorkMillis : workMillis;
      Thread.sleep(Math.min(work, Math.max(1, (endNanos - System.nanoTime()) / 1_000_000)));
      synchronized (this) {
        runs.remove(run);
        notifyAll();
      }
      record.add("%s: has run %s", id, requestId);
      echo = "X-Request-Id: " + requestId + "\r\n" + load();
      return System.nanoTime() >= endNanos
          ? response(504, echo + "X-Server-Signature: s." + id + "\r\n", "")
          : response(200, echo + "X-Server-Signature: s." + id + "\r\n", "body of " + requestId);
    } finally {
      running.remove(requestId);
      slots.release();
    }
  }

  private synchronized Run begin(String requestId, int key) {
    long expiry = expiryOf(key);
    if (expiry == 0) {
      return null;
    }
    var run = new Run(requestId, key, expiry);
    runs.add(run);
    return run;
  }

  /** Returns when the hold of a key runs out; 0 if the worker doesn't hold it. */
  synchronized long expiryOf(int key) {
    long now = System.nanoTime();
    return holds.stream()
        .filter(h -> h.contains(key) && h.expiryNanos() > now)
        .mapToLong(Hold::expiryNanos)
        .max()
        .orElse(0);
  }

  /** Returns the requests at work on some keys. */
  synchronized List<Run> runsOn(int from, int to) {
    return runs.stream().filter(r -> from <= r.key() && r.key() <= to).toList();
  }

  private byte[] grant(JsonNode call, String echo) {
    int from = call.path("from").asInt();
    int to = call.path("to").asInt();
    long fence = call.path("fence").asLong();
    String time = call.path("hold_time").asText();
    long holdMillis = Long.parseLong(time.substring(0, time.length() - 2));
    synchronized (this) {
      if (seen.stream().anyMatch(s -> s.overlaps(from, to) && s.fence() > fence)) {
        record.add("%s: refuses grant %d-%d fence %d", id, from, to, fence);
        return response(409, echo, "");
      }
      seen.add(new Hold(from, to, fence, 0));
      take(from, to);
      holds.add(new Hold(from, to, fence, System.nanoTime() + holdMillis * 1_000_000));
    }
    record.add("%s: takes grant %d-%d fence %d for %d ms", id, from, to, fence, holdMillis);
    listener.granted(this, from, to, fence);
    return response(200, echo, "");
  }

  /** Removes keys from what the worker holds. */
  private void take(int from, int to) {
    List<Hold> before = List.copyOf(holds);
    holds.clear();
    for (Hold hold : before) {
      if (!hold.overlaps(from, to)) {
        holds.add(hold);
        continue;
      }
      if (hold.from() < from) {
        holds.add(new Hold(hold.from(), from - 1, hold.fence(), hold.expiryNanos()));
      }
      if (hold.to() > to) {
        holds.add(new Hold(to + 1, hold.to(), hold.fence(), hold.expiryNanos()));
      }
    }
  }

  private synchronized byte[] release(JsonNode call, String echo) throws InterruptedException {
    int from = call.path("from").asInt();
    int to = call.path("to").asInt();
    long fence = call.path("fence").asLong();
    seen.add(new Hold(from, to, fence, 0));
    take(from, to);
    record.add(
        "%s: release %d-%d fence %d; still at work there: %d",
        id, from, to, fence, runsOn(from, to).size());
    while (!runsOn(from, to).isEmpty()) {
      wait();
    }
    record.add("%s: confirms release %d-%d fence %d", id, from, to, fence);
    return response(200, echo + "X-Handover: 5c0e7a21d94b36f8\r\n", "");
  }

  private static byte[] response(int status, String headers, String body) {
    return ("HTTP/1.1 %d %s\r\n".formatted(status, status == 200 ? "OK" : "Status")
            + headers
            + "Keep-Alive: timeout=10\r\n"
            + "Content-Length: %d\r\n\r\n".formatted(body.length())
            + body)
        .getBytes(StandardCharsets.US_ASCII);
  }

  /** Ends the worker and its connections; returns the requests at which it was at work. */
  Set<String> end() throws IOException {
    Set<String> cut = Set.copyOf(running);
    close();
    for (Socket socket : sockets) {
      socket.close();
    }
    record.add("%s: ends, at work on %s", id, cut);
    return cut;
  }

  void close() throws IOException {
    server.close();
  }
}
