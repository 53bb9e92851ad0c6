package org.catkinlift.daemon.json;

/**
 * A validation error in a JSON document.
 *
 * @param path the path of the value, such as {@code peers[1].zone}; {@code $} for the document
 * @param value the invalid value as JSON; a description in parentheses if it cannot be shown
 * @param allowed a description of the valid values
 */
public record JsonError(String path, String value, String allowed) {
  /** The path of the whole document. */
  public static final String ROOT = "$";

  @Override
  public String toString() {
    return path + ": " + value + " is not allowed; allowed: " + allowed;
  }
}
