package org.catkinlift.model;

/**
 * Identifies a cell: a group of daemons in one availability zone, with the upstreams that they
 * manage.
 *
 * @param value the name; lower-case letters, digits, dots and hyphens, 1 to 64 characters
 */
public record CellId(String value) implements Comparable<CellId> {

  /**
   * Checks the name.
   *
   * @throws ModelException with code {@code BAD_NAME} if the name is malformed
   */
  public CellId {
    Names.check("cell", value);
  }

  /**
   * Returns the identifier with this name.
   *
   * @param value the name
   * @return the identifier
   */
  public static CellId of(String value) {
    return new CellId(value);
  }

  @Override
  public int compareTo(CellId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
