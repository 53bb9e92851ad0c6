package org.catkinlift.model;

/**
 * Identifies one request of one caller, on every hop and in every log line.
 *
 * @param value the identifier; 1 to 128 visible ASCII characters
 */
public record RequestId(String value) {
  private static final int MAX_LENGTH = 128;

  /**
   * Checks the identifier.
   *
   * @throws ModelException with code {@code BAD_NAME} if it is empty, too long or not visible ASCII
   */
  public RequestId {
    if (value.isEmpty()
        || value.length() > MAX_LENGTH
        || !value.chars().allMatch(c -> c > ' ' && c <= '~')) {
      throw new ModelException(
          ModelException.Code.BAD_NAME, "request id must have 1 to 128 visible ASCII characters");
    }
  }

  /**
   * Returns the identifier with this value.
   *
   * @param value the identifier
   * @return the request id
   */
  public static RequestId of(String value) {
    return new RequestId(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
