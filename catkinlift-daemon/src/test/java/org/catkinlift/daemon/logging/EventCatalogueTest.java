package org.catkinlift.daemon.logging;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.Arrays;
import org.catkinlift.daemon.DocTables;
import org.catkinlift.events.EventCode;
import org.junit.jupiter.api.Test;

final class EventCatalogueTest {
  /** Guards against undocumented events and documented events that do not exist. */
  @Test
  void catalogueListsExactlyTheEventsOfTheCode() throws IOException {
    ImmutableList<ImmutableList<String>> rows = DocTables.rows("events.md");
    var declared =
        Arrays.stream(EventCode.values())
            .map(c -> ImmutableList.of("" + c.number(), c.severity().name(), c.text()))
            .collect(toImmutableList());
    assertThat(rows.stream().map(row -> row.subList(0, 3)).collect(toImmutableList()))
        .containsExactlyElementsIn(declared)
        .inOrder();
    rows.forEach(row -> assertThat(row.subList(3, 5)).doesNotContain(""));
  }
}
