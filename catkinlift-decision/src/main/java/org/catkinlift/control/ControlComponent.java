package org.catkinlift.control;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * Decides one concern of the control thread.
 *
 * <p>Parts are confined to the control thread. The same sequence of events at the same times gives
 * the same actions. A part ignores events that do not concern it.
 */
public interface ControlComponent {
  /** The time between two {@link ControlEvent.Tick} events. */
  Duration TICK_INTERVAL = Duration.ofMillis(50);

  /**
   * Handles one event.
   *
   * @param event what happened
   * @param nowNanos the monotonic time of this daemon, in nanoseconds
   * @return what to do, in this order
   */
  ImmutableList<ControlAction> handle(ControlEvent event, long nowNanos);
}
