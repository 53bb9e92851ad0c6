package org.catkinlift.gateway.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.logging.TaskGuard;
import org.catkinlift.timer.TimerService;

/** Runs timers on an event loop. An exception of a listener does not end its later calls. */
public final class EventLoopTimerService implements TimerService {
  private final EventLoop loop;
  private final TaskGuard guard;

  /**
   * Creates the service.
   *
   * @param loop the event loop that runs the timers
   * @param log the event log, which receives the exceptions of listeners
   */
  public EventLoopTimerService(EventLoop loop, EventLog log) {
    this.loop = loop;
    this.guard = new TaskGuard(log);
  }

  @Override
  public long nowNanos() {
    return System.nanoTime();
  }

  @Override
  public Subscription after(Duration delay, Runnable listener) {
    ScheduledFuture<?> timer =
        loop.schedule(guard.guard(listener), delay.toNanos(), TimeUnit.NANOSECONDS);
    return () -> timer.cancel(false);
  }

  @Override
  public Subscription every(Duration interval, Runnable listener) {
    ScheduledFuture<?> timer =
        loop.scheduleWithFixedDelay(
            guard.guard(listener), interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    return () -> timer.cancel(false);
  }
}
