package org.catkinlift.standin.upstream;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Retains recent load samples for lagging load reports. Confined to the event loop. */
final class LoadHistory {

  /** The longest supported lag of {@link LoadReporting.Lagging}. */
  private static final Duration RETENTION = Duration.ofSeconds(30);

  /** Bounds memory use under high load; reports then lag by less than configured. */
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
