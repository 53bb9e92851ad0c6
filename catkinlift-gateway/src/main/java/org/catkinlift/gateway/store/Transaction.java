package org.catkinlift.gateway.store;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

/**
 * Changes of rows that are committed atomically.
 *
 * @param expectedVersions the versions that rows must have for the commit to succeed; 0 for a row
 *     that must not exist
 * @param puts the rows to write, with their values
 * @param removals the rows to remove
 */
public record Transaction(
    ImmutableMap<RowKey, Long> expectedVersions,
    ImmutableMap<RowKey, String> puts,
    ImmutableSet<RowKey> removals) {}
