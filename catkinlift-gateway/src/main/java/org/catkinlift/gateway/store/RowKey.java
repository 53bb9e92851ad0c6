package org.catkinlift.gateway.store;

/**
 * Identifies a row of the daemons.
 *
 * @param table the table
 * @param key the key within the table
 */
public record RowKey(String table, String key) {}
