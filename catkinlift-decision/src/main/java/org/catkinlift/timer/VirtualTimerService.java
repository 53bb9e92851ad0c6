package org.catkinlift.timer;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A timer service on virtual time, for tests and benchmarks.
 *
 * <p>Timers fire in the order of their due times; timers due at the same time fire in the order of
 * their subscription. Not thread-safe.
 */
public final class VirtualTimerService implements TimerService {
  private static final Comparator<Entry> ORDER =
      Comparator.<Entry>comparingLong(e -> e.dueNanos).thenComparingLong(e -> e.sequence);

  private final PriorityQueue<Entry> queue = new PriorityQueue<>(ORDER);
  private long nowNanos;
  private long sequence;

  @Override
  public long nowNanos() {
    return nowNanos;
  }

  @Override
  public Subscription after(Duration delay, Runnable listener) {
    checkArgument(!delay.isNegative(), "delay must not be negative: %s", delay);
    var entry = new Entry(nowNanos + delay.toNanos(), sequence++, 0, listener);
    queue.add(entry);
    return entry;
  }

  @Override
  public Subscription every(Duration interval, Runnable listener) {
    checkArgument(interval.isPositive(), "interval must be positive: %s", interval);
    var entry = new Entry(nowNanos + interval.toNanos(), sequence++, interval.toNanos(), listener);
    queue.add(entry);
    return entry;
  }

  /**
   * Advances the time and runs all timers that become due.
   *
   * @param duration the time to advance by; must not be negative
   */
  public void advance(Duration duration) {
    checkArgument(!duration.isNegative(), "duration must not be negative: %s", duration);
    long end = nowNanos + duration.toNanos();
    while (!queue.isEmpty() && queue.peek().dueNanos <= end) {
      runNext();
    }
    nowNanos = end;
  }

  private void runNext() {
    Entry entry = queue.remove();
    nowNanos = entry.dueNanos;
    if (entry.cancelled) {
      return;
    }
    if (entry.intervalNanos > 0) {
      entry.dueNanos += entry.intervalNanos;
      entry.sequence = sequence++;
      queue.add(entry);
    }
    entry.listener.run();
  }

  private static final class Entry implements Subscription {
    private long dueNanos;
    private long sequence;
    private final long intervalNanos;
    private final Runnable listener;
    private boolean cancelled;

    private Entry(long atNanos, long sequence, long intervalNanos, Runnable listener) {
      this.dueNanos = atNanos;
      this.sequence = sequence;
      this.intervalNanos = intervalNanos;
      this.listener = listener;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }
}
