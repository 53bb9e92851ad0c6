package org.catkinlift.daemon;

import org.catkinlift.events.DecisionEvent;

/** Logs decision events. Thread-safe. */
@FunctionalInterface
public interface EventSink {

  /**
   * Logs an event.
   *
   * @param event the event
   */
  void log(DecisionEvent event);
}
