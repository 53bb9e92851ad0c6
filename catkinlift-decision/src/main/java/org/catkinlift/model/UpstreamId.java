package org.catkinlift.model;

/**
 * Identifies an upstream: a server that owns keys and executes requests.
 *
 * @param value the name; lower-case letters, digits, dots and hyphens, 1 to 64 characters
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

  /**
   * Checks the name.
   *
   * @throws ModelException with code {@code BAD_NAME} if the name is malformed
   */
  public UpstreamId {
    Names.check("upstream", value);
  }

  /**
   * Returns the identifier with this name.
   *
   * @param value the name
   * @return the identifier
   */
  public static UpstreamId of(String value) {
    return new UpstreamId(value);
  }

  @Override
  public int compareTo(UpstreamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
