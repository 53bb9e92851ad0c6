package org.catkinlift.bench;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.google.common.collect.ImmutableList;
import java.io.PrintStream;
import java.util.Arrays;
import org.catkinlift.bench.ownership.OwnershipScenarios;
import org.catkinlift.bench.traffic.TrafficScenarios;

/** Command-line entry point: runs scenarios and prints each measurement as one JSON line. */
public final class BenchMain {
  private static final int EXIT_OK = 0;
  private static final int EXIT_MEASUREMENT_FAILED = 1;
  private static final int EXIT_BAD_USAGE = 2;

  private static final ImmutableList<Scenario> SCENARIOS =
      ImmutableList.<Scenario>builder()
          .addAll(OwnershipScenarios.all())
          .addAll(TrafficScenarios.all())
          .build();

  private final PrintStream out;
  private final PrintStream err;
  private final MeasurementWriter writer = new MeasurementWriter();

  BenchMain(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Runs the selected scenarios and exits with status 0 if every measurement is ok, 1 if any is
   * not, or 2 on invalid arguments.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    System.exit(new BenchMain(System.out, System.err).run(args));
  }

  int run(String... args) {
    var options = new BenchOptions();
    var commander = JCommander.newBuilder().programName("bench").addObject(options).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      err.println(e.getMessage());
      return EXIT_BAD_USAGE;
    }
    if (options.isHelp()) {
      var usage = new StringBuilder();
      commander.getUsageFormatter().usage(usage);
      out.print(usage);
      return EXIT_OK;
    }
    return run(options);
  }

  private int run(BenchOptions options) {
    ImmutableList<Scenario> scenarios =
        SCENARIOS.stream().filter(options::selects).collect(toImmutableList());
    ImmutableList<Site> sites =
        Arrays.stream(Site.values()).filter(options::selects).collect(toImmutableList());
    if (scenarios.isEmpty() || sites.isEmpty()) {
      err.println("no such scenario or site; scenarios: " + scenarioNames());
      return EXIT_BAD_USAGE;
    }
    boolean allOk = true;
    for (Scenario scenario : scenarios) {
      for (Site site : sites) {
        allOk &= print(scenario.run(site, options.seed()));
      }
    }
    return allOk ? EXIT_OK : EXIT_MEASUREMENT_FAILED;
  }

  private boolean print(ImmutableList<Measurement> measurements) {
    measurements.forEach(measurement -> out.println(writer.toJsonLine(measurement)));
    return measurements.stream().allMatch(Measurement::ok);
  }

  private static ImmutableList<String> scenarioNames() {
    return SCENARIOS.stream().map(Scenario::name).collect(toImmutableList());
  }
}
