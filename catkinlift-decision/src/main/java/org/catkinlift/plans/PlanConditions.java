package org.catkinlift.plans;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.stream.Stream;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostDefinition;

/** Compares a plan with the rows that it was made from. */
final class PlanConditions {
  private PlanConditions() {}

  /** Returns the prefixes of the rows to read: the configuration and the plan's assignments. */
  static ImmutableList<String> prefixes(Plan plan) {
    return Stream.concat(
            Stream.of(Configuration.NAME),
            plan.assignmentVersions().keySet().stream()
                .map(a -> PlanRows.ASSIGNMENTS + a.substring(0, a.indexOf('/') + 1))
                .distinct())
        .collect(toImmutableList());
  }

  /** Returns what has changed since the plan was made; empty if nothing has. */
  static ImmutableList<String> changes(
      Plan plan, ImmutableList<Row> rows, ImmutableSet<HostDefinition> hosts) {
    var changes = ImmutableList.<String>builder();
    Configuration present = PlanRows.configuration(rows);
    if (present.version() != plan.configurationVersion()) {
      changes.add(
          "the configuration is at version %d, and the plan was made from version %d"
              .formatted(present.version(), plan.configurationVersion()));
      changes.addAll(changesOfOthers(plan, present, hosts));
    }
    plan.assignmentVersions()
        .forEach(
            (name, version) -> {
              Epoch now = assignmentVersion(rows, PlanRows.ASSIGNMENTS + name);
              if (!now.equals(version)) {
                changes.add(
                    "assignment %s is at version %s, and the plan was made from version %s"
                        .formatted(name, now, version));
              }
            });
    return changes.build();
  }

  /** Applies the plan's intent to the present configuration; what still differs is not its own. */
  private static ImmutableList<String> changesOfOthers(
      Plan plan, Configuration present, ImmutableSet<HostDefinition> hosts) {
    ConfigurationChange again = ConfigurationChange.of(plan.intent(), present, hosts);
    return again.refusals().isEmpty()
        ? ConfigurationDiff.describe(plan.result(), again.result())
        : again.refusals();
  }

  private static Epoch assignmentVersion(ImmutableList<Row> rows, String name) {
    return PlanRows.find(rows, name)
        .map(Row::value)
        .filter(RowValue.AssignmentRow.class::isInstance)
        .map(v -> ((RowValue.AssignmentRow) v).assignment().version())
        .orElse(Epoch.NONE);
  }

  /** Returns the row versions under which the plan may be confirmed. */
  static ImmutableMap<String, Long> of(Plan plan, ImmutableList<Row> rows) {
    return Stream.concat(
            Stream.of(Configuration.NAME, PlanRows.nameOf(plan.id())),
            plan.assignmentVersions().keySet().stream().map(a -> PlanRows.ASSIGNMENTS + a))
        .collect(toImmutableMap(name -> name, name -> versionOf(rows, name)));
  }

  static long versionOf(ImmutableList<Row> rows, String name) {
    return PlanRows.find(rows, name).map(Row::version).orElse(0L);
  }
}
