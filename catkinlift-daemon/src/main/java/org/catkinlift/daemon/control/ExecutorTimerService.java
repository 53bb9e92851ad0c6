package org.catkinlift.daemon.control;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.catkinlift.timer.TimerService;

/** Schedules timers on the control thread with the monotonic clock of the JVM. */
final class ExecutorTimerService implements TimerService {
  private final ScheduledExecutorService executor;

  ExecutorTimerService(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  @Override
  public long nowNanos() {
    return System.nanoTime();
  }

  @Override
  public Subscription after(Duration delay, Runnable listener) {
    return subscription(executor.schedule(listener, delay.toNanos(), TimeUnit.NANOSECONDS));
  }

  @Override
  public Subscription every(Duration interval, Runnable listener) {
    long nanos = interval.toNanos();
    return subscription(
        executor.scheduleWithFixedDelay(listener, nanos, nanos, TimeUnit.NANOSECONDS));
  }

  private static Subscription subscription(Future<?> timer) {
    return () -> timer.cancel(false);
  }
}
