package org.catkinlift.standin.platform;

/**
 * A row of the table.
 *
 * @param name the name of the row; may contain slashes
 * @param version the number of writes to this row, starting at 1
 * @param requestId the id of the transaction that last wrote the row
 * @param json the content as JSON text, not interpreted by the table
 */
public record TableRow(String name, long version, String requestId, String json) {}
