package org.catkinlift.admission;

import java.time.Duration;
import org.catkinlift.routes.RequestKind;

/**
 * Decides which requests a daemon may still send to upstreams after its stop signal, so that none
 * is cut when the process ends.
 *
 * <p>Load pattern: callers that keep sending to a stopping daemon, some of them requests that take
 * nearly as long as their deadline allows.
 *
 * @param stopNanos the time of the stop signal
 * @param exitNanos the time at which the process ends, whatever is in progress
 */
public record ShutdownWindow(long stopNanos, long exitNanos) {
  /** The time between the end of the process and its kill; covers a late timer. */
  private static final Duration EXIT_MARGIN = Duration.ofMillis(300);

  /** The time after the deadline in which a response may still be written to its end. */
  private static final Duration RESPONSE_MARGIN = Duration.ofMillis(250);

  /**
   * The share of the time until the process ends in which idempotent requests are sent although
   * their deadline is later than the end of the process. Nearly all end much earlier, and callers
   * repeat the others.
   */
  private static final double EARLY_SHARE = 1.0 / 3;

  /**
   * Returns the window of a daemon that is stopping.
   *
   * @param stopNanos the time of the stop signal
   * @param gracePeriod the time from the stop signal until the process is killed
   * @return the window
   */
  public static ShutdownWindow of(long stopNanos, Duration gracePeriod) {
    return new ShutdownWindow(stopNanos, stopNanos + gracePeriod.minus(EXIT_MARGIN).toNanos());
  }

  /**
   * Returns whether a request may be sent now, however long it has waited.
   *
   * @param urgency the urgency of the request
   * @param kind the kind of the request
   * @param nowNanos the current time
   */
  public boolean allows(Urgency urgency, RequestKind kind, long nowNanos) {
    boolean endsBeforeExit = urgency.deadlineNanos() + RESPONSE_MARGIN.toNanos() <= exitNanos;
    return endsBeforeExit || (kind.isIdempotent() && isEarly(nowNanos));
  }

  private boolean isEarly(long nowNanos) {
    return nowNanos - stopNanos <= (exitNanos - stopNanos) * EARLY_SHARE;
  }
}
