import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The platform's entry of one zone: asks each daemon whether it is ready, once per second. */
final class Platform {
  private static final int MISSES = 2;

  private final Record record;
  private final List<Daemon> daemons;
  private final Map<Daemon, Integer> misses = new ConcurrentHashMap<>();
  private final AtomicInteger next = new AtomicInteger();
  private volatile boolean ended;

  Platform(Record record, List<Daemon> daemons) {
    this.record = record;
    this.daemons = List.copyOf(daemons);
    this.daemons.forEach(d -> Thread.startVirtualThread(() -> ask(d)));
  }

  private void ask(Daemon daemon) {
    while (!ended) {
      boolean ready = daemon.isReady();
      int before = misses.getOrDefault(daemon, 0);
      misses.put(daemon, ready ? 0 : before + 1);
      if (!ready && before + 1 == MISSES) {
        record.add("platform: %s is out of rotation", daemon.name);
      } else if (ready && before >= MISSES) {
        record.add("platform: %s is in rotation", daemon.name);
      }
      try {
        Thread.sleep(1_000);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Returns the daemon of the next connection; all are used if fewer than half are ready. */
  Daemon choose() {
    List<Daemon> inRotation = new ArrayList<>(daemons);
    inRotation.removeIf(d -> misses.getOrDefault(d, 0) >= MISSES);
    List<Daemon> used = inRotation.size() * 2 < daemons.size() ? daemons : inRotation;
    return used.get(Math.floorMod(next.getAndIncrement(), used.size()));
  }

  void end() {
    ended = true;
  }
}
