package org.catkinlift.control;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * Makes the control decisions of one area, such as membership or dissemination.
 *
 * <p>Components are confined to the control thread and deterministic: the same sequence of events
 * at the same times yields the same actions. A component ignores events of other areas.
 */
public interface ControlComponent {
  /** The time between two {@link ControlEvent.Tick} events. */
  Duration TICK_INTERVAL = Duration.ofMillis(50);

  /**
   * Handles one event.
   *
   * @param event the event
   * @param nowNanos the monotonic time of this daemon, in nanoseconds
   * @return the actions, to be performed in this order
   */
  ImmutableList<ControlAction> handle(ControlEvent event, long nowNanos);
}
