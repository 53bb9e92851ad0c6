package org.catkinlift.model;

/**
 * Names a service that callers address.
 *
 * @param value the name; lower-case letters, digits, dots and hyphens, 1 to 64 characters
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

  /**
   * Checks the name.
   *
   * @throws ModelException with code {@code BAD_NAME} if the name is malformed
   */
  public ServiceName {
    Names.check("service", value);
  }

  /**
   * Returns the identifier with this name.
   *
   * @param value the name
   * @return the identifier
   */
  public static ServiceName of(String value) {
    return new ServiceName(value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
