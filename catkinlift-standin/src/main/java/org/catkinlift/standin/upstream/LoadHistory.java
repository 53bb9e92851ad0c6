package org.catkinlift.standin.upstream;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Keeps the loads of the last seconds for delayed reports. Confined to the event loop. */
final class LoadHistory {

  /** The longest lag of {@link LoadReporting.Lagging}. */
  private static final Duration RETENTION = Duration.ofSeconds(30);

  /** Bounds the memory under high load; reports are then behind by less than asked for. */
  private static final int MAX_SAMPLES = 100_000;

  private final Deque<Sample> samples = new ArrayDeque<>();

  void add(long nowNanos, LoadReport load) {
    samples.addLast(new Sample(nowNanos, load));
    while (samples.size() > MAX_SAMPLES
        || nowNanos - samples.getFirst().atNanos() > RETENTION.toNanos()) {
      samples.removeFirst();
    }
  }

  LoadReport at(long nanos) {
    var newestFirst = samples.descendingIterator();
    while (newestFirst.hasNext()) {
      Sample sample = newestFirst.next();
      if (sample.atNanos() - nanos <= 0) {
        return sample.load();
      }
    }
    return new LoadReport(0, 0);
  }

  private record Sample(long atNanos, LoadReport load) {}
}
