package org.catkinlift.bench;

import com.beust.jcommander.Parameter;

/** Command-line options of the bench. */
final class BenchOptions {
  @Parameter(names = "--seed", description = "Seed of all random numbers")
  private long seed = 1;

  @Parameter(names = "--scenario", description = "Run only the scenario with this name")
  private String scenario = "";

  @Parameter(names = "--site", description = "Run only this site: tavua or zarqa")
  private String site = "";

  @Parameter(names = "--help", help = true, description = "Print this text")
  private boolean help;

  long seed() {
    return seed;
  }

  boolean isHelp() {
    return help;
  }

  boolean selects(Scenario candidate) {
    return scenario.isEmpty() || scenario.equals(candidate.name());
  }

  boolean selects(Site candidate) {
    return site.isEmpty() || site.equals(candidate.label());
  }
}
