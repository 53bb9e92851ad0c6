package org.catkinlift.events;

import com.google.common.collect.ImmutableMap;

/**
 * A log event with its fields.
 *
 * @param code the event code
 * @param fields the field values by name, in the order in which they are printed
 */
public record DecisionEvent(EventCode code, ImmutableMap<String, String> fields) {
  /** The name of the field that holds the request id, by which request events are sampled. */
  public static final String REQUEST_FIELD = "request";

  /** The name of the field that holds the service of a placement decision. */
  public static final String SERVICE_FIELD = "service";

  /** The name of the field that holds the placed unit: a slot, or a key with an override. */
  public static final String UNIT_FIELD = "unit";

  /** The name of the field that holds the key of a new override. */
  public static final String KEY_FIELD = "key";

  /** The name of the field that holds the upstream of a dispatcher or a grant. */
  public static final String UPSTREAM_FIELD = "upstream";

  /** The name of the field that holds the cell of a coordinator role. */
  public static final String CELL_FIELD = "cell";

  /**
   * Returns the value of {@link #UNIT_FIELD} for a slot.
   *
   * @param slot the slot
   * @return the value
   */
  public static String slotUnit(int slot) {
    return "slot " + slot;
  }

  /**
   * Returns the value of {@link #UNIT_FIELD} for a key with an override.
   *
   * @param key the key
   * @return the value
   */
  public static String keyUnit(String key) {
    return "key " + key;
  }

  /**
   * Returns an event with one field.
   *
   * @param code the event code
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
   * @param code the event code
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
