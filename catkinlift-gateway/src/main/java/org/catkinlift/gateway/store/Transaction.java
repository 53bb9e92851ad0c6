package org.catkinlift.gateway.store;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

/**
 * Changes of rows that are done together or not at all.
 *
 * @param expected the versions that rows must have; 0 for a row that must not exist
 * @param puts the rows to write, with their content
 * @param removals the rows to remove
 */
public record Transaction(
    ImmutableMap<RowKey, Long> expected,
    ImmutableMap<RowKey, String> puts,
    ImmutableSet<RowKey> removals) {

  /**
   * Returns a transaction that writes one row without a condition.
   *
   * @param key the row
   * @param value its content
   * @return the transaction
   */
  public static Transaction put(RowKey key, String value) {
    return new Transaction(ImmutableMap.of(), ImmutableMap.of(key, value), ImmutableSet.of());
  }

  /**
   * Returns a transaction that removes one row without a condition.
   *
   * @param key the row
   * @return the transaction
   */
  public static Transaction remove(RowKey key) {
    return new Transaction(ImmutableMap.of(), ImmutableMap.of(), ImmutableSet.of(key));
  }
}
