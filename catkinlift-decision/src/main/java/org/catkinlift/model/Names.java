package org.catkinlift.model;

/** Validates the names of services, upstreams, hosts, availability zones, cells and plans. */
final class Names {
  private static final int MAX_LENGTH = 64;

  private Names() {}

  /**
   * Validates a name.
   *
   * @param kind what the name identifies, for the error message
   * @param value the name
   * @throws ModelException with code {@code BAD_NAME} if the name is malformed
   */
  static void check(String kind, String value) {
    if (value.isEmpty() || value.length() > MAX_LENGTH) {
      throw new ModelException(
          ModelException.Code.BAD_NAME,
          kind + " name must have 1 to " + MAX_LENGTH + " characters: '" + value + "'");
    }
    if (!value.chars().allMatch(Names::isAllowed)) {
      throw new ModelException(
          ModelException.Code.BAD_NAME,
          kind
              + " name may contain only lower-case letters, digits, dots and hyphens: '"
              + value
              + "'");
    }
  }

  private static boolean isAllowed(int c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
  }
}
