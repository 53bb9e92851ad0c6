package org.catkinlift.daemon.json;

/**
 * Names one error of a JSON document.
 *
 * @param path where it is, for example {@code peers[1].zone}; {@code $} for the whole document
 * @param value the value found, as JSON; a description in parentheses if it cannot be shown
 * @param allowed what is allowed there
 */
public record JsonError(String path, String value, String allowed) {
  /** The path of the whole document. */
  public static final String ROOT = "$";

  @Override
  public String toString() {
    return path + ": " + value + " is not allowed; allowed: " + allowed;
  }
}
