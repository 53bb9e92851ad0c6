package org.catkinlift.admission.replay;

import java.time.Duration;
import java.util.PriorityQueue;

/** Runs tasks in the order of their times, without waiting. */
final class VirtualTime {
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long nowNanos;
  private long lastSequence;

  private record Task(long nanos, long sequence, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      return nanos == other.nanos
          ? Long.compare(sequence, other.sequence)
          : Long.compare(nanos, other.nanos);
    }
  }

  long now() {
    return nowNanos;
  }

  void at(long nanos, Runnable action) {
    lastSequence++;
    tasks.add(new Task(Math.max(nanos, nowNanos), lastSequence, action));
  }

  void after(Duration delay, Runnable action) {
    at(nowNanos + delay.toNanos(), action);
  }

  void every(Duration interval, long untilNanos, Runnable action) {
    after(
        interval,
        () -> {
          action.run();
          if (nowNanos < untilNanos) {
            every(interval, untilNanos, action);
          }
        });
  }

  void run() {
    while (!tasks.isEmpty()) {
      Task next = tasks.poll();
      nowNanos = next.nanos();
      next.action().run();
    }
  }
}
