import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One connection of one daemon to the store is reset; then a worker's entry is removed. */
public final class UnlistedAfterReset {
  private static final long DRAIN_NANOS = 2_000_000_000L;
  private static final long ANSWER_MILLIS = 300;
  private static final int ROUNDS = 5;

  private UnlistedAfterReset() {}

  /** Notes requests that reach a worker later than drain after its entry was removed. */
  private static final class Leaving implements Worker.Listener {
    private final Map<String, Long> removedNanos = new ConcurrentHashMap<>();
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger lostOrders = new AtomicInteger();
    private final Set<String> late = ConcurrentHashMap.newKeySet();
    private Record record;

    /** The daemon whose connection was reset; its requests aren't judged. */
    private volatile String disturbed = "";

    @Override
    public void arrived(Worker worker, String requestId) {
      Long removed = removedNanos.get(worker.id);
      if (Caller.daemonOf(requestId).equals(disturbed)) {
        return;
      }
      if (removed != null && System.nanoTime() - removed > DRAIN_NANOS) {
        broken.incrementAndGet();
        late.add(requestId);
        record.add(
            "DRAIN: request %s reaches %s from %s %d ms after the store accepted that it is gone",
            requestId,
            worker.id,
            Caller.daemonOf(requestId),
            (System.nanoTime() - removed) / 1_000_000);
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
    Site.main(arguments, UnlistedAfterReset::run);
  }

  private static int run(Site site, boolean trouble) throws Exception {
    var leaving = new Leaving();
    leaving.record = site.record;
    site.configure(
        4,
        List.of(Site.service("proofroom", false)),
        List.of(
            Site.rule("r-proof", "/proof/", "download", "proofroom", 400, 2500, 2),
            Site.rule("r-order", "/order/", "non_idempotent", "proofroom", 500, 2500, 1)));
    List<String> zones = List.of("suva", "nadi", "lautoka");
    for (int i = 0; i < 8; i++) {
      site.add(
          new Worker(
              site.record, leaving, "i-proof" + i, "proofroom", zones.get(i % 3), 4, false, 160));
    }
    Map<String, Relay> relays = new HashMap<>();
    for (int i = 0; i < 9; i++) {
      String name = "front-" + zones.get(i % 3) + "-" + (1 + i / 3);
      relays.put(name, new Relay(site.store.port()));
      site.startDaemon(name, zones.get(i % 3), relays.get(name).port());
    }
    site.awaitReady();
    var served = new AtomicInteger();
    for (Daemon daemon : site.daemons) {
      for (int i = 0; i < 3; i++) {
        Thread.startVirtualThread(() -> call(site, daemon, served));
      }
    }
    for (int round = 0; round < ROUNDS; round++) {
      Thread.sleep(10_000);
      if (trouble) {
        String coordinator = site.store.coordinator();
        leaving.disturbed = coordinator;
        String reset = relays.get(coordinator).reset("GET /rows-feed?table=servers");
        site.record.add("%s: %s connections to the store are reset", coordinator, reset);
      }
      Thread.sleep(1_000);
      Worker worker = site.workers.get(round);
      site.store.remove("servers", worker.id);
      leaving.removedNanos.put(worker.id, System.nanoTime());
      Thread.sleep(2_300);
      leaving.ended(worker, worker.end());
    }
    site.record.add(
        "served: %d; late arrivals: %d; orders lost with their worker: %d",
        served.get(), leaving.broken.get(), leaving.lostOrders.get());
    site.copyLogs("event=5006", "event=5007", "event=3001");
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
        }
        Thread.sleep(150);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
