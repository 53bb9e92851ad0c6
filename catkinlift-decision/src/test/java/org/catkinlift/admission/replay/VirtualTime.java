package org.catkinlift.admission.replay;

import java.time.Duration;
import java.util.PriorityQueue;

/** Runs tasks at their times, in order, without waiting. */
final class VirtualTime {
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long nowNanos;
  private long lastNumber;

  private record Task(long nanos, long number, Runnable job) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      return nanos == other.nanos
          ? Long.compare(number, other.number)
          : Long.compare(nanos, other.nanos);
    }
  }

  long now() {
    return nowNanos;
  }

  void at(long nanos, Runnable job) {
    lastNumber++;
    tasks.add(new Task(Math.max(nanos, nowNanos), lastNumber, job));
  }

  void after(Duration delay, Runnable job) {
    at(nowNanos + delay.toNanos(), job);
  }

  void every(Duration interval, long untilNanos, Runnable job) {
    after(
        interval,
        () -> {
          job.run();
          if (nowNanos < untilNanos) {
            every(interval, untilNanos, job);
          }
        });
  }

  void run() {
    while (!tasks.isEmpty()) {
      Task next = tasks.poll();
      nowNanos = next.nanos();
      next.job().run();
    }
  }
}
