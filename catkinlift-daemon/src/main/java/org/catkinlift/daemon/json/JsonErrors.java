package org.catkinlift.daemon.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/** Collects the errors of one document. Confined to the thread that reads the document. */
public final class JsonErrors {
  /** Values that are longer are cut, so that a large document gives readable errors. */
  private static final int MAX_VALUE_LENGTH = 80;

  private static final String MISSING = "(missing)";
  private static final String HIDDEN = "(hidden)";

  private final List<JsonError> errors = new ArrayList<>();

  /** Creates an empty collection. */
  public JsonErrors() {}

  /**
   * Adds an error and shows the value if it is a scalar.
   *
   * @param path where it is
   * @param node the value found
   * @param allowed what is allowed there
   */
  public void add(String path, JsonNode node, String allowed) {
    errors.add(new JsonError(path, describe(node), allowed));
  }

  /**
   * Adds an error with a value that was already read.
   *
   * @param path where it is
   * @param value the value found
   * @param allowed what is allowed there
   */
  public void add(String path, Object value, String allowed) {
    errors.add(new JsonError(path, '"' + value.toString() + '"', allowed));
  }

  /**
   * Adds the error that a required key is missing.
   *
   * @param path where it should be
   * @param allowed what is allowed there
   */
  public void addMissing(String path, String allowed) {
    errors.add(new JsonError(path, MISSING, allowed));
  }

  /**
   * Adds an error without its value, which is a secret or may be one.
   *
   * @param path where it is
   * @param allowed what is allowed there
   */
  public void addHidden(String path, String allowed) {
    errors.add(new JsonError(path, HIDDEN, allowed));
  }

  /**
   * Tells whether there is no error.
   *
   * @return true if none was added
   */
  public boolean isEmpty() {
    return errors.isEmpty();
  }

  /**
   * Returns the errors in the order in which they were found.
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
