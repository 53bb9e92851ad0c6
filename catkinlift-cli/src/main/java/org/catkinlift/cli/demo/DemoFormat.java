package org.catkinlift.cli.demo;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Strings;
import java.io.PrintStream;
import java.util.Map;
import org.catkinlift.standin.load.LoadReport;

/** Formats in which the demo prints its figures. */
enum DemoFormat {
  /** One JSON object on a single line. */
  JSON,
  /** One figure per line. */
  TEXT;

  private static final int NAME_WIDTH = 18;
  private static final double ROUNDING_FACTOR = 1_000;

  /**
   * Prints the figures of a run.
   *
   * @param result the result of the run
   * @param out receives the figures
   */
  void print(DemoResult result, PrintStream out) {
    switch (this) {
      case JSON -> out.println(toJson(result));
      case TEXT -> printLines(toJson(result), out);
    }
  }

  private static void printLines(ObjectNode figures, PrintStream out) {
    for (Map.Entry<String, ?> figure : figures.properties()) {
      out.println(Strings.padEnd(figure.getKey(), NAME_WIDTH, ' ') + figure.getValue());
    }
  }

  private static ObjectNode toJson(DemoResult result) {
    LoadReport.Counts counts = result.routed().counts();
    return JsonNodeFactory.instance
        .objectNode()
        .put("requests", counts.requests())
        .put("answered", counts.answered())
        .put("refused_not_run", counts.refusedNotRun())
        .put("unknown", counts.unknown())
        .put("wrong_answers", counts.wrongAnswers())
        .put("orders_run_twice", result.audit().ordersRunTwice())
        .put("not_run_but_ran", result.audit().notRunButRan())
        .put("owner_conflicts", result.audit().ownerConflicts())
        .put("p50_ms", rounded(result.routed().latency().p50Millis()))
        .put("p99_ms", rounded(result.routed().latency().p99Millis()))
        .put("direct_p50_ms", rounded(result.direct().latency().p50Millis()))
        .put("direct_p99_ms", rounded(result.direct().latency().p99Millis()));
  }

  private static double rounded(double millis) {
    return Math.round(millis * ROUNDING_FACTOR) / ROUNDING_FACTOR;
  }
}
