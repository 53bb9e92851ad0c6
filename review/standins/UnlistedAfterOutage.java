import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The store is down for a while. Later a worker leaves: its entry is removed, it serves on. */
public final class UnlistedAfterOutage {
  private static final long DRAIN_NANOS = 2_000_000_000L;

  private UnlistedAfterOutage() {}

  /** Notes requests that reach a worker later than drain after its entry was removed. */
  private static final class Leaving implements Worker.Listener {
    private final Map<String, Long> removedNanos = new ConcurrentHashMap<>();
    private final AtomicInteger broken = new AtomicInteger();
    private Record record;

    @Override
    public void arrived(Worker worker, String requestId) {
      Long removed = removedNanos.get(worker.id);
      if (removed != null && System.nanoTime() - removed > DRAIN_NANOS) {
        broken.incrementAndGet();
        record.add(
            "DRAIN: request %s reaches %s %d ms after the store accepted that it is gone",
            requestId, worker.id, (System.nanoTime() - removed) / 1_000_000);
      }
    }
  }

  public static void main(String[] arguments) throws Exception {
    Site.main(arguments, UnlistedAfterOutage::run);
  }

  private static int run(Site site, boolean trouble) throws Exception {
    var leaving = new Leaving();
    leaving.record = site.record;
    site.configure(
        4,
        List.of(Site.service("proofroom", false)),
        List.of(Site.rule("r-proof", "/proof/", "download", "proofroom", 400, 2500, 2)));
    List<String> zones = List.of("suva", "nadi", "lautoka");
    for (int i = 0; i < 6; i++) {
      site.add(
          new Worker(
              site.record, leaving, "i-proof" + i, "proofroom", zones.get(i % 3), 4, false, 96));
    }
    for (int i = 0; i < 6; i++) {
      site.startDaemon("front-" + zones.get(i % 3) + "-" + (1 + i / 3), zones.get(i % 3));
    }
    site.awaitReady();
    var served = new AtomicInteger();
    for (Daemon daemon : site.daemons) {
      for (int i = 0; i < 4; i++) {
        Thread.startVirtualThread(() -> call(site, daemon, served));
      }
    }
    Thread.sleep(5_000);
    if (trouble) {
      site.store.setDown(true);
      Thread.sleep(4_500);
      site.store.setDown(false);
    } else {
      Thread.sleep(4_500);
    }
    Thread.sleep(12_000);
    for (Worker worker : List.of(site.workers.get(0), site.workers.get(1))) {
      site.store.remove("servers", worker.id);
      leaving.removedNanos.put(worker.id, System.nanoTime());
      Thread.sleep(6_000);
      worker.close();
      site.record.add("%s ends", worker.id);
      Thread.sleep(2_000);
    }
    site.record.add("served: %d; late arrivals: %d", served.get(), leaving.broken.get());
    site.copyLogs("event=5006", "event=5007", "event=3001");
    if (served.get() < 100) {
      return Site.NOT_RUN;
    }
    return leaving.broken.get() > 0 ? Site.BROKEN : Site.HELD;
  }

  private static void call(Site site, Daemon daemon, AtomicInteger served) {
    try (var caller = new Caller(site.record, daemon, Site.HOST)) {
      while (!Thread.currentThread().isInterrupted()) {
        if (caller.send("GET", "/proof/2f", -1, 2_500, new byte[0]) == 200) {
          served.incrementAndGet();
        }
        Thread.sleep(150);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
