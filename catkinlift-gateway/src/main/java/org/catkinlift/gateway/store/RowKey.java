package org.catkinlift.gateway.store;

/**
 * Names a row of the daemon's own.
 *
 * @param table the table
 * @param key the key within the table
 */
public record RowKey(String table, String key) {}
