package org.catkinlift.daemon.settings;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.CharMatcher;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import org.catkinlift.daemon.DocTables;
import org.junit.jupiter.api.Test;

final class SettingsPageTest {
  private static final int EFFECT_COLUMN = 4;

  /**
   * Guards against undocumented settings and wrong units, defaults or ranges in the documentation.
   */
  @Test
  void pageListsExactlyTheKeysOfTheReader() throws IOException {
    var rows = DocTables.rows("settings.md");
    assertThat(rows.stream().map(row -> row.subList(0, EFFECT_COLUMN)).collect(toImmutableList()))
        .containsExactlyElementsIn(
            SettingsKeys.ALL.stream().map(SettingsPageTest::row).collect(toImmutableList()))
        .inOrder();
    rows.forEach(row -> assertThat(row.get(EFFECT_COLUMN)).isNotEmpty());
  }

  private static ImmutableList<String> row(SettingsKey<?> key) {
    return ImmutableList.of(
        key.path(),
        key.unit(),
        CharMatcher.is('"').removeFrom(key.defaultText()),
        CharMatcher.is('"').removeFrom(key.decoder().allowed()));
  }
}
