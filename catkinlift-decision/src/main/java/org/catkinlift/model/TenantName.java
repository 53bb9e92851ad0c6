package org.catkinlift.model;

/**
 * Names a tenant.
 *
 * @param value the name; lower-case letters, digits, dots and hyphens, 1 to 64 characters
 */
public record TenantName(String value) implements Comparable<TenantName> {

  /**
   * Checks the name.
   *
   * @throws ModelException with code {@code BAD_NAME} if the name is malformed
   */
  public TenantName {
    Names.check("tenant", value);
  }

  /**
   * Returns the identifier with this name.
   *
   * @param value the name
   * @return the identifier
   */
  public static TenantName of(String value) {
    return new TenantName(value);
  }

  @Override
  public int compareTo(TenantName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
