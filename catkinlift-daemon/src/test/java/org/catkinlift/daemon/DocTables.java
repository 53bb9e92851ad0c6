package org.catkinlift.daemon;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Parses the tables of documentation pages, which tests compare with the code. */
public final class DocTables {
  private DocTables() {}

  /**
   * Returns the rows of all tables of a page without the header rows, with backticks removed.
   *
   * @param page the file name below {@code docs}
   * @return the cells of each row
   * @throws IOException if the page cannot be read
   */
  public static ImmutableList<ImmutableList<String>> rows(String page) throws IOException {
    var lines = Files.readAllLines(Path.of("../docs").resolve(page));
    var rows = ImmutableList.<ImmutableList<String>>builder();
    for (int i = 0; i < lines.size(); i++) {
      boolean isHeading = i + 1 < lines.size() && lines.get(i + 1).startsWith("| ---");
      if (lines.get(i).startsWith("| ") && !lines.get(i).startsWith("| ---") && !isHeading) {
        rows.add(cells(lines.get(i)));
      }
    }
    return rows.build();
  }

  private static ImmutableList<String> cells(String line) {
    return Splitter.on('|')
        .trimResults()
        .splitToStream(line.substring(1, line.lastIndexOf('|')))
        .map(CharMatcher.is('`')::removeFrom)
        .collect(toImmutableList());
  }
}
