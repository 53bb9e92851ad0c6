package org.catkinlift.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/** A request to the platform's table. */
public sealed interface PlatformRequest {

  /**
   * Reads all rows whose name starts with a prefix.
   *
   * @param prefix the prefix; a whole name reads one row
   */
  record ReadRows(String prefix) implements PlatformRequest {}

  /**
   * Writes rows if all conditions hold, else writes nothing.
   *
   * @param requestId stored with each written row, so that a read tells whether a transaction whose
   *     answer was lost has taken effect
   * @param conditions the version that each named row must have; 0 for a row that must not exist
   * @param writes the new content by row name
   */
  record Transact(
      String requestId,
      ImmutableMap<String, Long> conditions,
      ImmutableMap<String, RowValue> writes)
      implements PlatformRequest {}

  /** Reads the list of live and leaving hosts, which may be out of date. */
  record ReadHosts() implements PlatformRequest {}

  /**
   * A row as the platform returned it.
   *
   * @param name the row's name
   * @param version the row's version, at least 1
   * @param requestId the id of the transaction that wrote it
   * @param value the content
   */
  record Row(String name, long version, String requestId, RowValue value) {}

  /** The platform's answer. */
  sealed interface Reply {

    /**
     * The rows that were read.
     *
     * @param rows the rows, ordered by name
     */
    record Rows(ImmutableList<Row> rows) implements Reply {}

    /** The transaction took effect. */
    record Applied() implements Reply {}

    /**
     * The transaction did not take effect because a condition failed.
     *
     * @param rows the current rows named by the conditions
     */
    record Conflict(ImmutableList<Row> rows) implements Reply {}

    /**
     * The list of hosts.
     *
     * @param live the live hosts
     * @param leaving the hosts that are about to leave
     */
    record Hosts(ImmutableList<HostDefinition> live, ImmutableList<HostId> leaving)
        implements Reply {}

    /** No answer arrived; a transaction may or may not have taken effect. */
    record NoAnswer() implements Reply {}
  }
}
