package org.catkinlift.standin.platform;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * An immutable snapshot of the table; applies transactions.
 *
 * @param rows the rows by name
 */
public record TableState(ImmutableSortedMap<String, TableRow> rows) {

  /** A table without rows. */
  public static final TableState EMPTY = new TableState(ImmutableSortedMap.of());

  /** The result of a transaction. */
  public sealed interface Result {

    /**
     * All conditions held and the writes were applied.
     *
     * @param next the table after the writes
     */
    record Applied(TableState next) implements Result {}

    /**
     * A condition failed; nothing was written.
     *
     * @param rows the existing rows named by the conditions, ordered by name
     */
    record Conflict(ImmutableList<TableRow> rows) implements Result {}
  }

  /**
   * Returns one row.
   *
   * @param name the name of the row
   * @return the row, or empty if it does not exist
   */
  public Optional<TableRow> row(String name) {
    return Optional.ofNullable(rows.get(name));
  }

  /**
   * Returns the rows whose names start with a prefix.
   *
   * @param prefix the prefix; an empty prefix selects all rows
   * @return the rows, ordered by name
   */
  public ImmutableList<TableRow> rowsWithPrefix(String prefix) {
    return rows.tailMap(prefix, true).values().stream()
        .takeWhile(r -> r.name().startsWith(prefix))
        .collect(toImmutableList());
  }

  /**
   * Applies a transaction.
   *
   * @param transaction the transaction
   * @return the next table, or the rows named by the conditions if one of them failed
   */
  public Result apply(TableTransaction transaction) {
    boolean conditionsHold =
        transaction.conditions().entrySet().stream()
            .allMatch(c -> versionOf(c.getKey()) == c.getValue());
    if (!conditionsHold) {
      return new Result.Conflict(conditionRows(transaction));
    }
    var next = new TreeMap<String, TableRow>(rows);
    transaction
        .writes()
        .forEach(
            (name, json) ->
                next.put(
                    name, new TableRow(name, versionOf(name) + 1, transaction.requestId(), json)));
    return new Result.Applied(new TableState(ImmutableSortedMap.copyOfSorted(next)));
  }

  private long versionOf(String name) {
    return row(name).map(TableRow::version).orElse(0L);
  }

  private ImmutableList<TableRow> conditionRows(TableTransaction transaction) {
    return transaction.conditions().keySet().stream()
        .sorted()
        .flatMap(name -> row(name).stream())
        .collect(toImmutableList());
  }
}
