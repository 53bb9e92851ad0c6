package org.catkinlift.plans;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.stream.Stream;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.PlanId;

/** Finds and decodes the platform rows that plans are made from and stored in. */
final class PlanRows {
  static final String PREFIX = "plan/";

  private PlanRows() {}

  static String rowName(PlanId plan) {
    return PREFIX + plan;
  }

  /** Returns the rows in a reply; empty if it has none. */
  static Optional<ImmutableList<Row>> rows(Reply reply) {
    return switch (reply) {
      case Reply.Rows r -> Optional.of(r.rows());
      case Reply.Conflict c -> Optional.of(c.rows());
      case Reply.Applied a -> Optional.empty();
      case Reply.Hosts h -> Optional.empty();
      case Reply.NoAnswer n -> Optional.empty();
    };
  }

  static Optional<Row> find(ImmutableList<Row> rows, String name) {
    return rows.stream().filter(r -> r.name().equals(name)).findFirst();
  }

  /** Returns the values of the given type; rows with values of other types are skipped. */
  static <V extends RowValue> Stream<V> values(Stream<Row> rows, Class<V> kind) {
    return rows.map(Row::value).filter(kind::isInstance).map(kind::cast);
  }

  static Optional<PlanRecord> plan(ImmutableList<Row> rows, PlanId plan) {
    return values(find(rows, rowName(plan)).stream(), RowValue.PlanRow.class)
        .map(RowValue.PlanRow::plan)
        .findFirst();
  }

  /** Returns the configuration in the rows, or the empty one if none has been written yet. */
  static Configuration configuration(ImmutableList<Row> rows) {
    return values(find(rows, Configuration.NAME).stream(), RowValue.ConfigurationRow.class)
        .map(RowValue.ConfigurationRow::configuration)
        .findFirst()
        .orElse(Configuration.EMPTY);
  }
}
