package org.catkinlift.model;

/**
 * Identifies a host, which runs exactly one catkinlift daemon.
 *
 * @param value the name; lower-case letters, digits, dots and hyphens, 1 to 64 characters
 */
public record HostId(String value) implements Comparable<HostId> {

  /**
   * Checks the name.
   *
   * @throws ModelException with code {@code BAD_NAME} if the name is malformed
   */
  public HostId {
    Names.check("host", value);
  }

  /**
   * Returns the identifier with this name.
   *
   * @param value the name
   * @return the identifier
   */
  public static HostId of(String value) {
    return new HostId(value);
  }

  @Override
  public int compareTo(HostId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
