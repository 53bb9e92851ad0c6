package org.catkinlift.timer;

import java.time.Duration;

/**
 * Tells the time and calls listeners later, in place of clocks and sleeping threads.
 *
 * <p>Time is monotonic: it never goes back and has no relation to the time of day. Listeners run on
 * the thread that owns the service.
 */
public interface TimerService {

  /** A listener's place in the queue of timers. */
  interface Subscription {
    /** Ends the subscription; the listener is not called again. Has no effect if repeated. */
    void cancel();
  }

  /**
   * Returns the time.
   *
   * @return nanoseconds since an arbitrary origin
   */
  long nowNanos();

  /**
   * Calls a listener once.
   *
   * @param delay the time to wait; zero calls it as soon as possible
   * @param listener what to call
   * @return the subscription
   */
  Subscription after(Duration delay, Runnable listener);

  /**
   * Calls a listener again and again.
   *
   * @param interval the time between calls and before the first one; positive
   * @param listener what to call
   * @return the subscription
   */
  Subscription every(Duration interval, Runnable listener);
}
