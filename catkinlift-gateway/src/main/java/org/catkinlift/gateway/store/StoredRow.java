package org.catkinlift.gateway.store;

/**
 * The state of a row in the store.
 *
 * @param version its version; 0 if the row does not exist
 * @param value its value; empty if the row does not exist
 */
public record StoredRow(long version, String value) {
  /** The state of a row that does not exist. */
  public static final StoredRow MISSING = new StoredRow(0, "");
}
