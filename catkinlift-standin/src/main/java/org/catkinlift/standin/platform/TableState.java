package org.catkinlift.standin.platform;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds all rows at one moment and decides what a transaction does to them.
 *
 * @param rows the rows by name
 */
public record TableState(ImmutableSortedMap<String, TableRow> rows) {

  /** The table without rows. */
  public static final TableState EMPTY = new TableState(ImmutableSortedMap.of());

  /** What a transaction came to. */
  public sealed interface Result {

    /**
     * All conditions held.
     *
     * @param next the table with the writes
     */
    record Applied(TableState next) implements Result {}

    /**
     * A condition failed, so nothing was written.
     *
     * @param rows the present rows that the conditions name, ordered by name
     */
    record Conflict(ImmutableList<TableRow> rows) implements Result {}
  }

  /**
   * Returns one row.
   *
   * @param name the name
   * @return the row, if it exists
   */
  public Optional<TableRow> row(String name) {
    return Optional.ofNullable(rows.get(name));
  }

  /**
   * Returns the rows whose name starts with a prefix.
   *
   * @param prefix the prefix; all rows if empty
   * @return the rows, ordered by name
   */
  public ImmutableList<TableRow> rowsWithPrefix(String prefix) {
    return rows.tailMap(prefix, true).values().stream()
        .takeWhile(r -> r.name().startsWith(prefix))
        .collect(toImmutableList());
  }

  /**
   * Decides a transaction.
   *
   * @param transaction the transaction
   * @return the next table, or the rows on which a condition failed
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
