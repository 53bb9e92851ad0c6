package org.catkinlift.plans;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Locale;
import java.util.stream.Stream;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.ServiceName;

/**
 * Checks whether a plan is still valid.
 *
 * <p>A plan is valid as long as the configuration is the one that it was made from and planning its
 * intent again with the current assignments, loads and hosts gives no refusals. Slots move all the
 * time, so changed assignments alone do not invalidate a plan.
 */
final class PlanPreconditions {
  /** Limits the length of conflict messages for services with hundreds of upstreams. */
  private static final int MAX_NAMED_LOADS = 5;

  private PlanPreconditions() {}

  /**
   * The changes since a plan was made that make it invalid.
   *
   * @param descriptions the changes; empty if the plan is still valid
   * @param isPermanent whether the plan can never become valid again. This is so if the
   *     configuration has changed, because its version only increases, but not if only loads or
   *     hosts have changed.
   */
  record Changes(ImmutableList<String> descriptions, boolean isPermanent) {
    boolean isEmpty() {
      return descriptions.isEmpty();
    }
  }

  /** Returns the prefixes of the rows to check: the configuration and the affected assignments. */
  static ImmutableList<String> rowPrefixes(Plan plan) {
    Stream<String> services =
        Stream.concat(
            plan.assignmentVersions().keySet().stream().map(a -> a.substring(0, a.indexOf('/'))),
            plan.moves().stream().map(Plan.Move::service).map(ServiceName::value));
    return Stream.concat(
            Stream.of(Configuration.NAME),
            services.distinct().map(s -> Assignment.PREFIX + s + "/"))
        .collect(toImmutableList());
  }

  /** Returns the assignments in the rows. */
  static ImmutableList<Assignment> assignments(ImmutableList<Row> rows) {
    return PlanRows.values(rows.stream(), RowValue.AssignmentRow.class)
        .map(RowValue.AssignmentRow::assignment)
        .collect(toImmutableList());
  }

  /**
   * Returns the changes since the plan was made that make it invalid.
   *
   * @param plan the plan
   * @param currentInputs the current state
   */
  static Changes changes(Plan plan, PlanInputs currentInputs) {
    Configuration current = currentInputs.configuration();
    if (current.version() != plan.configurationVersion()) {
      return new Changes(configurationChanges(plan, currentInputs), true);
    }
    Plan replanned = PlanBuilder.plan(plan.intent(), currentInputs);
    if (replanned.refusals().isEmpty()) {
      return new Changes(ImmutableList.of(), false);
    }
    return new Changes(
        ImmutableList.<String>builder()
            .addAll(replanned.refusals())
            .addAll(loadChanges(plan, replanned))
            .build(),
        false);
  }

  private static ImmutableList<String> configurationChanges(Plan plan, PlanInputs currentInputs) {
    String versionChange =
        "the configuration is at version %d, but the plan was made from version %d"
            .formatted(currentInputs.configuration().version(), plan.configurationVersion());
    return ImmutableList.<String>builder()
        .add(versionChange)
        .addAll(concurrentChanges(plan, currentInputs))
        .build();
  }

  /**
   * Returns the configuration changes that others made. Applying the plan's intent to the current
   * configuration leaves only those as differences from the plan's result.
   */
  private static ImmutableList<String> concurrentChanges(Plan plan, PlanInputs currentInputs) {
    ConfigurationChange replanned =
        ConfigurationChange.of(plan.intent(), currentInputs.configuration(), currentInputs.hosts());
    return replanned.refusals().isEmpty()
        ? ConfigurationDiff.describe(plan.result(), replanned.result())
        : replanned.refusals();
  }

  private static ImmutableList<String> loadChanges(Plan plan, Plan replanned) {
    ImmutableMap<String, Plan.Load> before =
        plan.loads().stream()
            .collect(toImmutableMap(Plan.Load::subject, load -> load, (first, second) -> first));
    return replanned.loads().stream()
        .filter(l -> l.expected() > l.limit())
        .filter(l -> before.containsKey(l.subject()))
        .limit(MAX_NAMED_LOADS)
        .map(l -> loadChange(before.get(l.subject()), l))
        .collect(toImmutableList());
  }

  private static String loadChange(Plan.Load before, Plan.Load current) {
    return String.format(
        Locale.ROOT,
        "%s was expected to have %.1f requests in flight when the plan was made, but %.1f now",
        current.subject(),
        before.expected(),
        current.expected());
  }

  /**
   * Returns the row versions that the confirming transaction requires.
   *
   * <p>Assignments are excluded because they are written whenever slots move: a confirmation that
   * depended on them could fail for as long as rebalancing lasts.
   */
  static ImmutableMap<String, Long> writeConditions(Plan plan, ImmutableList<Row> rows) {
    return Stream.of(Configuration.NAME, PlanRows.rowName(plan.id()))
        .collect(toImmutableMap(name -> name, name -> versionOf(rows, name)));
  }

  static long versionOf(ImmutableList<Row> rows, String name) {
    return PlanRows.find(rows, name).map(Row::version).orElse(0L);
  }
}
