package org.catkinlift.daemon;

import org.catkinlift.events.DecisionEvent;

/** Takes the events of decisions for the log. May be called on any thread. */
@FunctionalInterface
public interface EventSink {

  /**
   * Logs an event.
   *
   * @param event the event
   */
  void log(DecisionEvent event);
}
