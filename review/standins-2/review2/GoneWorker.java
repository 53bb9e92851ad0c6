package review2;

import java.io.BufferedInputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One machine is partitioned from the store, the machine that last wrote under a condition is
 * killed and starts again, and a worker leaves meanwhile: its entry is removed.
 */
final class GoneWorker {
  private static final long CUT_MILLIS = 5_500;
  private static final long STABLE_MILLIS = 3_000;
  private static final long DRAIN_MILLIS = 2_000;
  private static final int CLIENTS = 16;
  private static final int WORK_MILLIS = 160;

  public static void main(String[] arguments) {
    Harness.main(Path.of(arguments[0]), 4, 6, 3, GoneWorker::isBroken);
  }

  private static boolean isBroken(Harness harness) throws Exception {
    Store.Door leaderDoor = harness.store.lastConditionalWriter();
    Router leader =
        harness.routers.stream().filter(r -> r.door == leaderDoor).findFirst().orElseThrow();
    Router other =
        harness.routers.stream().filter(r -> r.door != leaderDoor).findFirst().orElseThrow();
    Worker gone =
        harness.workers.stream().filter(w -> w.id.equals("i-proof0")).findFirst().orElseThrow();
    AtomicLong removedNanos = new AtomicLong();
    AtomicLong inTouchNanos = new AtomicLong(Long.MAX_VALUE);
    AtomicInteger late = new AtomicInteger();
    for (Worker worker : harness.workers) {
      worker.behaviour =
          (self, socket, in, head) -> {
            if (!head.line().startsWith("POST /requests/")) {
              return false;
            }
            Wire.requestBody(in, head);
            long now = System.nanoTime();
            self.ran(head, 0);
            if (self == gone && isLate(head, now, removedNanos.get(), inTouchNanos.get())) {
              late.incrementAndGet();
              harness.record.line("DRAIN: id=" + head.field("x-request-id") + " reached "
                  + self.id + " " + (now - removedNanos.get()) / 1_000_000
                  + " ms after its entry was removed");
            }
            Thread.sleep(WORK_MILLIS);
            Worker.send(socket, "200 OK",
                "X-Request-Id: " + head.field("x-request-id") + "\r\n" + self.signature(head)
                    + "X-Server-Load: 1,0,4\r\n", "ordered");
            return true;
          };
    }
    AtomicInteger unknown = new AtomicInteger();
    AtomicInteger answered = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    boolean[] stop = new boolean[1];
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      clients.add(Thread.ofPlatform().start(
          () -> orders(harness, other, client, stop, unknown, answered)));
    }
    Thread.sleep(2_000);
    long start = System.nanoTime();
    if (harness.trouble) {
      harness.record.line(other.name + " is cut off from the store");
      other.door.cut = true;
      Thread.sleep(500);
      harness.record.line(leader.name + " is killed");
      leader.end();
    }
    Thread.sleep(100);
    harness.record.line("the entry of " + gone.id + " is removed");
    gone.unlist();
    removedNanos.set(System.nanoTime());
    if (harness.trouble) {
      Thread.sleep(200);
      leader.start();
      harness.record.line(leader.name + " starts again");
    }
    sleepUntil(start, CUT_MILLIS);
    other.door.cut = false;
    harness.record.line(other.name + " reaches the store again");
    sleepUntil(start, CUT_MILLIS + STABLE_MILLIS + 500);
    inTouchNanos.set(System.nanoTime());
    harness.record.line(other.name + " is in touch");
    sleepUntil(start, CUT_MILLIS + STABLE_MILLIS + 6_500);
    harness.record.line(gone.id + " ends");
    gone.crash();
    Thread.sleep(2_000);
    stop[0] = true;
    for (Thread client : clients) {
      client.join();
    }
    harness.record.line("orders answered=" + answered + " cut=" + unknown
        + " reached the worker that is gone, late=" + late);
    if (!harness.trouble && answered.get() < 100) {
      throw new IllegalStateException("the calm run served too little");
    }
    return late.get() > 0;
  }

  private static void sleepUntil(long start, long millis) throws InterruptedException {
    Thread.sleep(Math.max(0, millis - (System.nanoTime() - start) / 1_000_000));
  }

  /** Late only if the client sent it when the machine was in touch, and after the drain time. */
  private static boolean isLate(Wire.Head head, long now, long removed, long inTouch) {
    String id = head.field("x-request-id");
    long sent = Long.parseLong(id.substring(1), 16);
    return removed != 0
        && inTouch != Long.MAX_VALUE
        && sent - inTouch > 0
        && now - removed > DRAIN_MILLIS * 1_000_000;
  }

  private static void orders(
      Harness harness,
      Router via,
      int client,
      boolean[] stop,
      AtomicInteger unknown,
      AtomicInteger answered) {
    while (!stop[0]) {
      try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), via.callers)) {
        socket.setSoTimeout(5_000);
        // The id carries the time at which the client sent the request; the last digit tells
        // the clients apart.
        String id = String.format("c%015x", (System.nanoTime() & ~0xfL) | client);
        socket.getOutputStream().write(
            ("POST /requests/1 HTTP/1.1\r\nHost: " + Harness.HOST + "\r\nX-Request-Id: " + id
                    + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        Wire.Answer answer = Wire.answer(new BufferedInputStream(socket.getInputStream()));
        int status = answer.head() == null ? 0 : answer.head().status();
        if (status == 200) {
          answered.incrementAndGet();
        } else {
          boolean ran = Harness.RUNS.stream().anyMatch(r -> r.id().equals(id));
          harness.record.line("client got id=" + id + " status=" + status + " ran=" + ran);
          if (ran) {
            unknown.incrementAndGet();
          }
          Thread.sleep(100);
        }
      } catch (Exception e) {
        harness.record.line("client: " + e.getMessage());
      }
    }
  }
}
