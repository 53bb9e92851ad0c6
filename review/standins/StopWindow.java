import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Two of three daemons of a zone get SIGTERM, one second apart, while clients go on. */
public final class StopWindow {
  private static final int ROUNDS = 5;
  private static final int REQUESTS_PER_ROUND = 900;
  private static final int LARGE_WORK_MILLIS = 2_250;

  private StopWindow() {}

  /** Notes which requests have begun at a worker. */
  private static final class Begun implements Worker.Listener {
    private final Set<String> ids = ConcurrentHashMap.newKeySet();

    @Override
    public void began(Worker worker, String requestId) {
      ids.add(requestId);
    }
  }

  public static void main(String[] arguments) throws Exception {
    Site.main(arguments, StopWindow::run);
  }

  private static int run(Site site, boolean trouble) throws Exception {
    var begun = new Begun();
    site.configure(
        4,
        List.of(Site.service("proofroom", false)),
        List.of(Site.rule("r-proof", "/proof/", "download", "proofroom", 400, 2500, 2)));
    for (int i = 0; i < 16; i++) {
      var worker =
          new Worker(site.record, begun, "i-proof" + i, "proofroom", "suva", 16, false, 96);
      worker.largeWorkMillis = LARGE_WORK_MILLIS;
      site.add(worker);
    }
    var cut = new AtomicInteger();
    var served = new AtomicInteger();
    for (int round = 0; round < ROUNDS; round++) {
      for (int i = 0; i < 3; i++) {
        site.startDaemon("front-suva-" + (round * 3 + i + 1), "suva");
      }
      site.awaitReady();
      Thread.sleep(2_000);
      List<Daemon> daemons = new ArrayList<>(site.daemons);
      Map<Daemon, Long> stopped = new ConcurrentHashMap<>();
      var platform = new Platform(site.record, daemons);
      for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
        int number = i;
        Thread.startVirtualThread(() -> call(site, platform, number, stopped, begun, cut, served));
        Thread.sleep(9);
        if (trouble && (i == 200 || i == 300)) {
          Daemon daemon = daemons.get(i / 100 - 2);
          daemon.terminate();
          stopped.put(daemon, System.nanoTime());
        }
      }
      Thread.sleep(3_500);
      platform.end();
      for (Daemon daemon : daemons) {
        daemon.end();
      }
      site.daemons.clear();
    }
    site.record.add("served: %d; cut: %d", served.get(), cut.get());
    if (served.get() < 500) {
      return Site.NOT_RUN;
    }
    return cut.get() > 0 ? Site.BROKEN : Site.HELD;
  }

  private static void call(
      Site site,
      Platform platform,
      int number,
      Map<Daemon, Long> stopped,
      Begun begun,
      AtomicInteger cut,
      AtomicInteger served) {
    Daemon daemon = platform.choose();
    long sentNanos = System.nanoTime();
    try (var caller = new Caller(site.record, daemon, Site.HOST)) {
      String path = number / 3 % 3 == 0 ? "/proof/large" : "/proof/small";
      int status = caller.send("GET", path, -1, 2_500, new byte[0]);
      if (status == 200) {
        served.incrementAndGet();
      }
      Long stopNanos = stopped.get(daemon);
      if (status != 0 || stopNanos == null || !begun.ids.contains(caller.lastId())) {
        return;
      }
      long afterMillis = (sentNanos - stopNanos) / 1_000_000;
      long heldMillis = (System.nanoTime() - sentNanos) / 1_000_000;
      boolean isExcused = afterMillis <= 3_000 || afterMillis + heldMillis > 7_000;
      site.record.add(
          "%s: %s was sent %d ms after the SIGTERM of %s, a worker began with it, and after %d ms"
              + " it was cut",
          isExcused ? "excused" : "LOST", caller.lastId(), afterMillis, daemon.name, heldMillis);
      if (!isExcused) {
        cut.incrementAndGet();
      }
    }
  }
}
