package org.catkinlift.daemon.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/** Collects the validation errors of one document. Not thread-safe. */
public final class JsonErrors {
  /** Longer values are truncated, so that errors in large documents stay readable. */
  private static final int MAX_VALUE_LENGTH = 80;

  private static final String MISSING = "(missing)";
  private static final String HIDDEN = "(hidden)";

  private final List<JsonError> errors = new ArrayList<>();

  /** Creates an empty list of errors. */
  public JsonErrors() {}

  /**
   * Adds an error. Its text contains the value if that is a scalar.
   *
   * @param path the path of the value
   * @param node the invalid value
   * @param allowed a description of the valid values
   */
  public void add(String path, JsonNode node, String allowed) {
    errors.add(new JsonError(path, describe(node), allowed));
  }

  /**
   * Adds an error for a value that is already decoded.
   *
   * @param path the path of the value
   * @param value the invalid value
   * @param allowed a description of the valid values
   */
  public void add(String path, Object value, String allowed) {
    errors.add(new JsonError(path, '"' + value.toString() + '"', allowed));
  }

  /**
   * Adds an error for a missing required key.
   *
   * @param path the path of the key
   * @param allowed a description of the valid values
   */
  public void addMissing(String path, String allowed) {
    errors.add(new JsonError(path, MISSING, allowed));
  }

  /**
   * Adds an error that hides the value, because the value is or may be a secret.
   *
   * @param path the path of the value
   * @param allowed a description of the valid values
   */
  public void addHidden(String path, String allowed) {
    errors.add(new JsonError(path, HIDDEN, allowed));
  }

  /**
   * Returns whether no error was added.
   *
   * @return true if there are no errors
   */
  public boolean isEmpty() {
    return errors.isEmpty();
  }

  /**
   * Returns the errors in the order in which they were added.
   *
   * @return the errors
   */
  public ImmutableList<JsonError> list() {
    return ImmutableList.copyOf(errors);
  }

  private static String describe(JsonNode node) {
    if (node.isObject()) {
      return "(object)";
    }
    if (node.isArray()) {
      return "(array)";
    }
    return Ascii.truncate(node.toString(), MAX_VALUE_LENGTH, "...");
  }
}
