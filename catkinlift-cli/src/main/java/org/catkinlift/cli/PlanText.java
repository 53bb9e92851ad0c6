package org.catkinlift.cli;

import java.util.Locale;
import java.util.Optional;
import org.catkinlift.daemon.json.PlanCodec;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.plans.Intent;
import org.catkinlift.plans.Plan;
import org.catkinlift.plans.PlanRecord;

/** Formats plans as human-readable text. */
final class PlanText {
  private static final double MILLIS_PER_SECOND = 1_000;

  private PlanText() {}

  /**
   * Formats a plan on one line.
   *
   * @param plan the plan
   * @return the line, without a line terminator
   */
  static String formatLine(PlanRecord plan) {
    Plan p = plan.plan();
    return "%s  %s  %s  version %d"
        .formatted(
            p.id(), PlanCodec.stateName(plan.state()), describe(p.intent()), p.result().version());
  }

  /**
   * Formats a plan with its moves, loads and refusals.
   *
   * @param plan the plan
   * @return the text; each line ends with a line feed
   */
  static String format(PlanRecord plan) {
    Plan p = plan.plan();
    var text = new StringBuilder();
    appendLine(text, "plan " + p.id() + " (" + PlanCodec.stateName(plan.state()) + ")");
    appendLine(text, "  intent: " + describe(p.intent()));
    appendLine(text, "  made from configuration version " + p.configurationVersion());
    appendLine(text, "  puts configuration version " + p.result().version() + " into force");
    appendLine(text, "  moves: " + (p.moves().isEmpty() ? "none" : ""));
    p.moves().forEach(m -> appendLine(text, "    " + describe(m)));
    appendLine(text, "  loads afterwards:");
    p.loads().forEach(l -> appendLine(text, "    " + describe(l)));
    appendLine(text, "  expected duration: " + seconds(p) + " s");
    p.refusals().forEach(r -> appendLine(text, "  refused: " + r));
    appendLine(text, "  " + nextStep(plan));
    return text.toString();
  }

  private static String describe(Intent intent) {
    return switch (intent) {
      case Intent.PutService i -> "put-service " + i.definition().name();
      case Intent.RemoveService i -> "remove-service " + i.service();
      case Intent.DrainZone i -> "drain-zone " + i.zone();
      case Intent.ReturnZone i -> "return-zone " + i.zone();
      case Intent.DeclareZoneLost i ->
          "declare-zone-lost " + i.zone() + (i.hostsAreOff() ? " --hosts-are-off" : "");
      case Intent.RetireUpstream i -> "retire-upstream " + i.upstream();
      case Intent.RetireHost i -> "retire-host " + i.host();
    };
  }

  private static String describe(Plan.Move move) {
    return "%s: %d slots from %s to %s"
        .formatted(move.service(), move.slots(), describe(move.from()), describe(move.to()));
  }

  private static String describe(Optional<UpstreamId> upstream) {
    return upstream.map(UpstreamId::value).orElse("none");
  }

  private static String describe(Plan.Load load) {
    return String.format(
        Locale.ROOT, "%s: %.1f of %d", load.subject(), load.expected(), load.limit());
  }

  private static String seconds(Plan plan) {
    double seconds = plan.expectedDuration().toMillis() / MILLIS_PER_SECOND;
    return String.format(Locale.ROOT, "%.1f", seconds);
  }

  private static String nextStep(PlanRecord plan) {
    return switch (plan.state()) {
      case OPEN ->
          plan.plan().refusals().isEmpty()
              ? "to put it into force: catkinlift confirm " + plan.plan().id()
              : "it cannot be confirmed; nothing has changed";
      case CONFIRMED -> "it is accepted";
      case CONFLICT -> "it can no longer be confirmed; make a new plan from the same intent";
    };
  }

  private static void appendLine(StringBuilder text, String line) {
    text.append(line.stripTrailing()).append('\n');
  }
}
