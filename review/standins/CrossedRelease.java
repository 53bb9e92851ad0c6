import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker repeats its answer to a grant; then its zone is evacuated and its keys are released. */
public final class CrossedRelease {
  private static final int ROUNDS = 8;
  private static final int CALLERS = 24;

  private CrossedRelease() {}

  /** Notes grants of keys on which another worker is still at work, before its hold ran out. */
  private static final class Ownership implements Worker.Listener {
    private final AtomicInteger broken = new AtomicInteger();
    private Site site;

    @Override
    public void granted(Worker worker, int from, int to, long fence) {
      for (Worker other : site.workers) {
        if (other == worker) {
          continue;
        }
        for (Worker.Run run : other.runsOn(from, to)) {
          if (run.holdExpiryNanos() > System.nanoTime()) {
            broken.incrementAndGet();
            site.record.add(
                "OWNER: %s is granted %d-%d fence %d; %s is still at work on %s, key %d, and its"
                    + " hold would have lasted %d ms more",
                worker.id,
                from,
                to,
                fence,
                other.id,
                run.requestId(),
                run.key(),
                (run.holdExpiryNanos() - System.nanoTime()) / 1_000_000);
          }
        }
      }
    }
  }

  public static void main(String[] arguments) throws Exception {
    Site.main(arguments, CrossedRelease::run);
  }

  private static int run(Site site, boolean trouble) throws Exception {
    var ownership = new Ownership();
    ownership.site = site;
    site.configure(
        4,
        List.of(Site.service("orderdesk", true)),
        List.of(Site.rule("r-order", "/order/", "non_idempotent", "orderdesk", 500, 1500, 1)));
    for (int i = 0; i < 6; i++) {
      String zone = i % 2 == 0 ? "suva" : "nadi";
      site.add(
          new Worker(site.record, ownership, "i-" + zone + i, "orderdesk", zone, 4, true, 400));
    }
    Daemon suva = site.startDaemon("front-suva-1", "suva");
    Daemon nadi = site.startDaemon("front-nadi-1", "nadi");
    site.awaitReady();
    var served = new AtomicInteger();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      Daemon daemon = i % 2 == 0 ? suva : nadi;
      callers.add(Thread.startVirtualThread(() -> call(site, daemon, served)));
    }
    Thread.sleep(8_000);
    for (int round = 0; round < ROUNDS; round++) {
      String zone = round % 2 == 0 ? "nadi" : "suva";
      List<Worker> leaving = site.workers.stream().filter(w -> w.zone.equals(zone)).toList();
      if (trouble) {
        leaving.forEach(w -> w.repeatNextGrantAnswer.set(true));
        while (leaving.stream().anyMatch(w -> w.repeatNextGrantAnswer.get())) {
          Thread.sleep(5);
        }
      }
      site.store.put("op", "evacuate/" + zone, "{}");
      Thread.sleep(4_000);
      site.store.remove("op", "evacuate/" + zone);
      Thread.sleep(5_000);
    }
    site.workers.forEach(w -> site.record.add("%s gave %d answers", w.id, w.answers()));
    site.record.add(
        "served: %d; grants while another worker was at work: %d",
        served.get(), ownership.broken.get());
    site.copyLogs("event=3014", "event=3015", "event=3016", "event=2007");
    if (served.get() < 100) {
      return Site.NOT_RUN;
    }
    return ownership.broken.get() > 0 ? Site.BROKEN : Site.HELD;
  }

  private static void call(Site site, Daemon daemon, AtomicInteger served) {
    try (var caller = new Caller(site.record, daemon, Site.HOST)) {
      while (!Thread.currentThread().isInterrupted()) {
        int key = ThreadLocalRandom.current().nextInt(65_536);
        int status = caller.send("POST", "/order/2f", key, 3_000, "order".getBytes());
        if (status == 200) {
          served.incrementAndGet();
        } else {
          Thread.sleep(50);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
