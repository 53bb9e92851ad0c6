package org.catkinlift.gateway.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.catkinlift.timer.TimerService;

/** Runs timers on an event loop. */
public final class EventLoopTimerService implements TimerService {
  private final EventLoop loop;

  /**
   * Creates the service.
   *
   * @param loop the event loop that runs the timers
   */
  public EventLoopTimerService(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public long nowNanos() {
    return System.nanoTime();
  }

  @Override
  public Subscription after(Duration delay, Runnable listener) {
    ScheduledFuture<?> timer = loop.schedule(listener, delay.toNanos(), TimeUnit.NANOSECONDS);
    return () -> timer.cancel(false);
  }

  @Override
  public Subscription every(Duration interval, Runnable listener) {
    ScheduledFuture<?> timer =
        loop.scheduleWithFixedDelay(
            listener, interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    return () -> timer.cancel(false);
  }
}
