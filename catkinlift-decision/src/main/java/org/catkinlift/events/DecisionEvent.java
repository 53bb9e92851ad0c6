package org.catkinlift.events;

import com.google.common.collect.ImmutableMap;

/**
 * Records one decision for the log.
 *
 * @param code which event
 * @param fields the details, in the order in which they are printed
 */
public record DecisionEvent(EventCode code, ImmutableMap<String, String> fields) {
  /** The name of the field that holds the request id; the sampling of request events uses it. */
  public static final String REQUEST_FIELD = "request";

  /**
   * Returns an event with one field.
   *
   * @param code which event
   * @param name the field's name
   * @param value the field's value
   * @return the event
   */
  public static DecisionEvent of(EventCode code, String name, Object value) {
    return new DecisionEvent(code, ImmutableMap.of(name, value.toString()));
  }

  /**
   * Returns an event with two fields.
   *
   * @param code which event
   * @param name1 the first field's name
   * @param value1 the first field's value
   * @param name2 the second field's name
   * @param value2 the second field's value
   * @return the event
   */
  public static DecisionEvent of(
      EventCode code, String name1, Object value1, String name2, Object value2) {
    return new DecisionEvent(
        code, ImmutableMap.of(name1, value1.toString(), name2, value2.toString()));
  }
}
