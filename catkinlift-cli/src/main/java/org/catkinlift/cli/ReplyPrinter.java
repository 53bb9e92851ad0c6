package org.catkinlift.cli;

import com.google.common.collect.Iterables;
import java.io.PrintStream;
import org.catkinlift.daemon.ExitCode;
import org.catkinlift.daemon.json.StrictJson;
import org.catkinlift.daemon.operator.OperatorCodec;
import org.catkinlift.model.PlanId;
import org.catkinlift.plans.OperatorReply;

/** Prints the replies of a daemon in the selected format. */
final class ReplyPrinter {
  private final OutputFormat format;
  private final PrintStream out;
  private final PrintStream err;

  ReplyPrinter(OutputFormat format, PrintStream out, PrintStream err) {
    this.format = format;
    this.out = out;
    this.err = err;
  }

  /**
   * Prints a reply. In text format, failures go to the error stream.
   *
   * @param reply the reply
   * @return {@code FAILED} for a failure, {@code DONE} otherwise
   */
  ExitCode print(OperatorReply reply) {
    switch (format) {
      case JSON -> out.println(StrictJson.printIndented(OperatorCodec.encode(reply)));
      case TEXT -> printText(reply);
    }
    return reply instanceof OperatorReply.Failed ? ExitCode.FAILED : ExitCode.DONE;
  }

  private void printText(OperatorReply reply) {
    switch (reply) {
      case OperatorReply.PlanShown r -> out.print(PlanText.format(r.plan()));
      case OperatorReply.PlansListed r -> printPlans(r);
      case OperatorReply.Facts r -> printFacts(r);
      case OperatorReply.Failed r -> err.println("error: " + r.detail());
    }
  }

  private void printPlans(OperatorReply.PlansListed reply) {
    reply.plans().forEach(p -> out.println(PlanText.formatLine(p)));
    if (reply.hasMore()) {
      PlanId last = Iterables.getLast(reply.plans()).plan().id();
      err.println("there are older plans: catkinlift plans --before " + last);
    }
  }

  private void printFacts(OperatorReply.Facts reply) {
    int width = reply.facts().keySet().stream().mapToInt(String::length).max().orElse(0);
    reply.facts().forEach((name, value) -> out.println(name + pad(name, width) + "  " + value));
    reply.decisions().forEach(d -> out.println("decision: " + d));
  }

  private static String pad(String name, int width) {
    return " ".repeat(width - name.length());
  }
}
