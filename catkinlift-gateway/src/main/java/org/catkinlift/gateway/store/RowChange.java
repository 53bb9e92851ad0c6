package org.catkinlift.gateway.store;

import java.util.Optional;

/**
 * A changed row of the store, as one daemon relays it to another.
 *
 * @param table its table
 * @param key its key
 * @param version its version
 * @param encodedValue its value as encoded by the store; empty if the row was removed
 */
public record RowChange(String table, String key, long version, Optional<String> encodedValue) {}
