package review2;

import java.nio.file.Path;

/**
 * In the first seconds of a deployment the store is away for a moment and comes back from a copy
 * that is older than the first assignment of keys. Meanwhile one process is killed and starts again.
 */
final class EarlyDrill {
  private static final long AWAY_MILLIS = 1_000;
  private static final long RESTART_MILLIS = 300;
  private static final long SAMPLE_MILLIS = 50;
  private static final long ALLOWED_MILLIS = 500;
  private static final long THAW_SLACK_NANOS = 300_000_000;
  private static final int STEP = 64;

  public static void main(String[] arguments) {
    Harness.main(Path.of(arguments[0]), 8, 2, 3, EarlyDrill::isBroken);
  }

  private static boolean isBroken(Harness harness) throws Exception {
    Store.Door leaderDoor = harness.store.lastConditionalWriter();
    Router leader =
        harness.routers.stream().filter(r -> r.door == leaderDoor).findFirst().orElseThrow();
    long returned = System.nanoTime();
    if (harness.trouble) {
      harness.record.line("the store is away, and " + leader.name + " is killed");
      harness.routers.forEach(r -> r.door.cut = true);
      leader.end();
      Thread.sleep(RESTART_MILLIS);
      leader.start();
      harness.record.line(leader.name + " starts again");
      Thread.sleep(AWAY_MILLIS - RESTART_MILLIS);
      harness.store.restore(harness.firstCopy);
      returned = System.nanoTime();
      harness.record.line("the store is back from a copy that is "
          + (returned - harness.firstCopy.nanos()) / 1_000_000 + " ms old");
      // What the operator wrote is written again; the workers do so with their next beat.
      harness.putConfig();
      harness.routers.forEach(r -> r.door.cut = false);
    }
    return twoHolders(harness, returned);
  }

  private static boolean twoHolders(Harness harness, long returned) throws Exception {
    long[] sinceNanos = new long[65_536 / STEP];
    boolean[] counted = new boolean[sinceNanos.length];
    int broken = 0;
    long longest = 0;
    long end = System.nanoTime() + 20_000_000_000L;
    while (System.nanoTime() < end) {
      long now = System.nanoTime();
      for (int i = 0; i < sinceNanos.length; i++) {
        StringBuilder holders = new StringBuilder();
        int count = 0;
        for (Worker worker : harness.workers) {
          if (worker.holds(i * STEP, returned, returned + THAW_SLACK_NANOS)) {
            count++;
            holders.append(' ').append(worker.id);
          }
        }
        if (count < 2) {
          sinceNanos[i] = 0;
          continue;
        }
        sinceNanos[i] = sinceNanos[i] == 0 ? now : sinceNanos[i];
        longest = Math.max(longest, (now - sinceNanos[i]) / 1_000_000);
        if (now - sinceNanos[i] > ALLOWED_MILLIS * 1_000_000 && !counted[i]) {
          counted[i] = true;
          broken++;
          if (broken <= 20) {
            harness.record.line("OWNER: key " + i * STEP + " held for over half a second by"
                + holders);
          }
        }
      }
      Thread.sleep(SAMPLE_MILLIS);
    }
    harness.record.line("keys looked at=" + sinceNanos.length + " with two holders=" + broken
        + " longest ms=" + longest);
    return broken > 0;
  }
}
