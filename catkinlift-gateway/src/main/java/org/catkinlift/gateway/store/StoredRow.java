package org.catkinlift.gateway.store;

/**
 * A row as the store has it.
 *
 * @param version its version; 0 if the row does not exist
 * @param value its content; empty if the row does not exist
 */
public record StoredRow(long version, String value) {
  /** Stands for a row that does not exist. */
  public static final StoredRow MISSING = new StoredRow(0, "");
}
