package org.catkinlift.configuration;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.stream.Stream;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue;
import org.catkinlift.model.Versioned;

/** Extracts the values that are disseminated among daemons from a reply of the platform. */
final class VersionedRows {
  private VersionedRows() {}

  /** Returns the values, or empty if the reply is not a list of rows. */
  static Optional<ImmutableList<Versioned>> of(Reply reply) {
    return switch (reply) {
      case Reply.Rows r -> Optional.of(values(r.rows()));
      case Reply.Applied a -> Optional.empty();
      case Reply.Conflict c -> Optional.empty();
      case Reply.Hosts h -> Optional.empty();
      case Reply.NoAnswer n -> Optional.empty();
    };
  }

  private static ImmutableList<Versioned> values(ImmutableList<Row> rows) {
    return rows.stream().flatMap(r -> value(r.value())).collect(ImmutableList.toImmutableList());
  }

  private static Stream<Versioned> value(RowValue value) {
    return switch (value) {
      case RowValue.ConfigurationRow r -> Stream.of(r.configuration());
      case RowValue.HomeRow r -> Stream.of(r.homes());
      case RowValue.AssignmentRow r -> Stream.of(r.assignment());
      case RowValue.CellRow r -> Stream.empty();
      case RowValue.PlanRow r -> Stream.empty();
    };
  }
}
