import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker turns slow and then reports draining, while requests wait for it in a daemon. */
public final class QueuedAtLeaving {
  private static final long DRAIN_NANOS = 2_000_000_000L;
  private static final long ANSWER_MILLIS = 300;
  private static final int ROUNDS = 6;
  private static final int CALLERS = 26;
  private static final int WORK_MILLIS = 200;

  private QueuedAtLeaving() {}

  /** Notes requests that reach a worker later than drain after it reported draining. */
  private static final class Leaving implements Worker.Listener {
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger lostOrders = new AtomicInteger();
    private final Set<String> late = ConcurrentHashMap.newKeySet();
    private Record record;
    private volatile Worker draining;
    private volatile long acceptedNanos;

    @Override
    public void arrived(Worker worker, String requestId) {
      long lateNanos = System.nanoTime() - acceptedNanos;
      if (worker == draining && lateNanos > DRAIN_NANOS) {
        broken.incrementAndGet();
        late.add(requestId);
        record.add(
            "DRAIN: request %s reaches %s %d ms after the store accepted that it is draining",
            requestId, worker.id, lateNanos / 1_000_000);
      }
    }

    /** Waits for the answers, and counts the orders that arrived late and were lost. */
    void ended(Worker worker, Set<String> cut) throws InterruptedException {
      Thread.sleep(ANSWER_MILLIS);
      for (String requestId : cut) {
        boolean isLost = late.contains(requestId) && !Caller.isServed(requestId);
        if (isLost && Caller.isOrder(requestId)) {
          lostOrders.incrementAndGet();
          record.add("%s arrived late and was lost with the end of %s", requestId, worker.id);
        }
      }
    }
  }

  public static void main(String[] arguments) throws Exception {
    Site.main(arguments, QueuedAtLeaving::run);
  }

  private static int run(Site site, boolean trouble) throws Exception {
    var leaving = new Leaving();
    leaving.record = site.record;
    site.configure(
        4,
        List.of(Site.service("proofroom", false)),
        List.of(
            Site.rule("r-proof", "/proof/", "download", "proofroom", 900, 2500, 2),
            Site.rule("r-order", "/order/", "non_idempotent", "proofroom", 900, 2500, 1)));
    for (int i = 0; i < 2; i++) {
      site.add(
          new Worker(
              site.record, leaving, "i-proof" + i, "proofroom", "suva", 4, false, WORK_MILLIS));
    }
    Daemon daemon = site.startDaemon("front-suva-1", "suva");
    site.awaitReady();
    var served = new AtomicInteger();
    for (int i = 0; i < CALLERS; i++) {
      Thread.startVirtualThread(() -> call(site, daemon, served));
    }
    for (int round = 0; round < ROUNDS; round++) {
      Thread.sleep(6_000);
      Worker worker = site.workers.get(site.workers.size() - 1);
      if (trouble) {
        worker.workMillis = WORK_MILLIS * 12;
        site.record.add("%s: work takes 12 times as long", worker.id);
      }
      Thread.sleep(50);
      site.store.put("servers", worker.id, worker.entry("draining", 0));
      leaving.acceptedNanos = System.nanoTime();
      leaving.draining = worker;
      Thread.sleep(2_400);
      leaving.draining = null;
      site.store.remove("servers", worker.id);
      leaving.ended(worker, worker.end());
      site.add(
          new Worker(
              site.record,
              leaving,
              "i-proof" + (2 + round),
              "proofroom",
              "suva",
              4,
              false,
              WORK_MILLIS));
    }
    site.record.add(
        "served: %d; late arrivals: %d; orders lost with their worker: %d",
        served.get(), leaving.broken.get(), leaving.lostOrders.get());
    if (served.get() < 100) {
      return Site.NOT_RUN;
    }
    return leaving.broken.get() > 0 ? Site.BROKEN : Site.HELD;
  }

  private static void call(Site site, Daemon daemon, AtomicInteger served) {
    try (var caller = new Caller(site.record, daemon, Site.HOST)) {
      for (boolean order = false; !Thread.currentThread().isInterrupted(); order = !order) {
        int status =
            order
                ? caller.send("POST", "/order/2f", -1, 2_500, "order".getBytes())
                : caller.send("GET", "/proof/2f", -1, 2_500, new byte[0]);
        if (status == 200) {
          served.incrementAndGet();
        } else {
          Thread.sleep(100);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
