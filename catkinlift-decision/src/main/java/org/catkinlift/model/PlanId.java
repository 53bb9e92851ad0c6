package org.catkinlift.model;

/**
 * Identifies a plan that an operator may confirm.
 *
 * @param value the name; lower-case letters, digits, dots and hyphens, 1 to 64 characters
 */
public record PlanId(String value) implements Comparable<PlanId> {

  /**
   * Checks the name.
   *
   * @throws ModelException with code {@code BAD_NAME} if the name is malformed
   */
  public PlanId {
    Names.check("plan", value);
  }

  /**
   * Returns the identifier with this name.
   *
   * @param value the name
   * @return the identifier
   */
  public static PlanId of(String value) {
    return new PlanId(value);
  }

  @Override
  public int compareTo(PlanId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
