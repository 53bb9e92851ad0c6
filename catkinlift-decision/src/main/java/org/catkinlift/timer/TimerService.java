package org.catkinlift.timer;

import java.time.Duration;

/**
 * Provides monotonic time and timers, so that no code reads a clock or blocks a thread to wait.
 *
 * <p>The time never decreases and is unrelated to the time of day. Listeners run on the thread that
 * owns the service.
 */
public interface TimerService {

  /** A handle of a scheduled timer. */
  interface Subscription {
    /** Cancels the timer; the listener is not called again. Idempotent. */
    void cancel();
  }

  /**
   * Returns the current time.
   *
   * @return nanoseconds since an arbitrary origin
   */
  long nowNanos();

  /**
   * Schedules a single call of a listener.
   *
   * @param delay the delay; zero calls the listener as soon as possible
   * @param listener the listener to call
   * @return the subscription
   */
  Subscription after(Duration delay, Runnable listener);

  /**
   * Schedules periodic calls of a listener.
   *
   * @param interval the time between calls and before the first call; must be positive
   * @param listener the listener to call
   * @return the subscription
   */
  Subscription every(Duration interval, Runnable listener);
}
