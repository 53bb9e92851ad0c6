package org.catkinlift.standin.platform;

import com.google.common.collect.ImmutableMap;

/**
 * A transaction that writes rows if all its conditions hold.
 *
 * @param requestId the id stored with each written row
 * @param conditions the required version by row name; 0 if the row must not exist
 * @param writes the new content by row name, as JSON text
 */
public record TableTransaction(
    String requestId, ImmutableMap<String, Long> conditions, ImmutableMap<String, String> writes) {}
