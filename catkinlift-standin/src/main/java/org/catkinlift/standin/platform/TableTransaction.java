package org.catkinlift.standin.platform;

import com.google.common.collect.ImmutableMap;

/**
 * Asks the table to write rows if all conditions hold.
 *
 * @param requestId stored with each written row
 * @param conditions the version that each named row must have; 0 for a row that must not exist
 * @param writes the new content as JSON text by row name
 */
public record TableTransaction(
    String requestId, ImmutableMap<String, Long> conditions, ImmutableMap<String, String> writes) {}
