package org.catkinlift.standin.platform;

/**
 * A row of the table.
 *
 * @param name the row's name; may contain slashes
 * @param version counts the writes of this row, from 1
 * @param requestId the id of the transaction that wrote it
 * @param json the content as JSON text, which the table does not interpret
 */
public record TableRow(String name, long version, String requestId, String json) {}
