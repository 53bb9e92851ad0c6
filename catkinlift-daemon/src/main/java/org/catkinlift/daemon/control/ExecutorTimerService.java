package org.catkinlift.daemon.control;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.catkinlift.timer.GuardedTask;
import org.catkinlift.timer.TimerService;

/**
 * Schedules timers on the control thread with the monotonic clock of the JVM. An exception of a
 * listener does not end its later calls.
 */
final class ExecutorTimerService implements TimerService {
  private final ScheduledExecutorService executor;
  private final Consumer<Throwable> failureListener;

  ExecutorTimerService(ScheduledExecutorService executor, Consumer<Throwable> failureListener) {
    this.executor = executor;
    this.failureListener = failureListener;
  }

  @Override
  public long nowNanos() {
    return System.nanoTime();
  }

  @Override
  public Subscription after(Duration delay, Runnable listener) {
    return subscription(executor.schedule(guard(listener), delay.toNanos(), TimeUnit.NANOSECONDS));
  }

  @Override
  public Subscription every(Duration interval, Runnable listener) {
    long nanos = interval.toNanos();
    return subscription(
        executor.scheduleWithFixedDelay(guard(listener), nanos, nanos, TimeUnit.NANOSECONDS));
  }

  private Runnable guard(Runnable listener) {
    return GuardedTask.of(listener, failureListener);
  }

  private static Subscription subscription(Future<?> timer) {
    return () -> timer.cancel(false);
  }
}
