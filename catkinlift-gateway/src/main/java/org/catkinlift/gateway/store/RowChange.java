package org.catkinlift.gateway.store;

import java.util.Optional;

/**
 * A row of the store's news, as one daemon hands it to another.
 *
 * @param table its table
 * @param key its key
 * @param version its version
 * @param encodedValue its content as the store sent it; empty if the row was removed
 */
public record RowChange(String table, String key, long version, Optional<String> encodedValue) {}
