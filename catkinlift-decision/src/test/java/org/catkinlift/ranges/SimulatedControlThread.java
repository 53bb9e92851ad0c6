package org.catkinlift.ranges;

import java.time.Duration;
import org.catkinlift.timer.VirtualTimerService;

/**
 * A control thread on virtual time that runs one task after the other, each of which takes
 * processor time. A task that is due while another one runs is late.
 */
final class SimulatedControlThread {
  private final VirtualTimerService timers;
  private final int speed;
  private long busyUntilNanos;

  /** Creates a thread that needs only a fraction of the stated processor time, 1 / speed. */
  SimulatedControlThread(VirtualTimerService timers, int speed) {
    this.timers = timers;
    this.speed = speed;
  }

  /** Runs a task after those that are due already; it takes effect when its time is spent. */
  void run(Duration processorTime, Runnable task) {
    busyUntilNanos = Math.max(busyUntilNanos, timers.nowNanos()) + processorTime.toNanos() / speed;
    var unused = timers.after(Duration.ofNanos(busyUntilNanos - timers.nowNanos()), task);
  }

  /** Makes a task due after a delay. */
  void runAfter(Duration delay, Duration processorTime, Runnable task) {
    var unused = timers.after(delay, () -> run(processorTime, task));
  }
}
