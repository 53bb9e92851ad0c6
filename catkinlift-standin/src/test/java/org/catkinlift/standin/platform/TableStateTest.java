package org.catkinlift.standin.platform;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Test;

/** Guards the conditional writes on which role claims and version changes rely. */
final class TableStateTest {

  @Test
  void writesNothingIfOneOfSeveralConditionsFails() {
    TableState table = apply(TableState.EMPTY, "r1", ImmutableMap.of("a", 0L), "a");

    var result =
        table.apply(
            new TableTransaction(
                "r2", ImmutableMap.of("a", 1L, "b", 1L), ImmutableMap.of("a", "2", "b", "2")));

    assertThat(result).isEqualTo(new TableState.Result.Conflict(table.rowsWithPrefix("a")));
  }

  @Test
  void incrementsVersionsAndStoresTheWritersRequestId() {
    TableState table = apply(TableState.EMPTY, "r1", ImmutableMap.of("a/b", 0L), "a/b");
    table = apply(table, "r2", ImmutableMap.of("a/b", 1L), "a/b");

    assertThat(table.row("a/b")).hasValue(new TableRow("a/b", 2, "r2", "1"));
  }

  @Test
  void readsExactlyTheRowsOfAPrefix() {
    TableState table = apply(TableState.EMPTY, "r", ImmutableMap.of(), "a", "b/1", "b/2", "c");

    assertThat(table.rowsWithPrefix("b/").stream().map(TableRow::name))
        .containsExactly("b/1", "b/2");
    assertThat(table.rowsWithPrefix("")).hasSize(4);
  }

  private static TableState apply(
      TableState table, String id, ImmutableMap<String, Long> conditions, String... rows) {
    var writes = ImmutableMap.<String, String>builder();
    for (String row : rows) {
      writes.put(row, "1");
    }
    var result = table.apply(new TableTransaction(id, conditions, writes.buildOrThrow()));
    return ((TableState.Result.Applied) result).next();
  }
}
