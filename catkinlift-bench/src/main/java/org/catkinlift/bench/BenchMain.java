package org.catkinlift.bench;

import com.google.common.collect.ImmutableList;

/** Runs the scenarios and prints one JSON line for each measurement. */
public final class BenchMain {
  private static final ImmutableList<Scenario> SCENARIOS = ImmutableList.of();

  private BenchMain() {}

  /**
   * Runs the scenarios.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    for (Scenario scenario : SCENARIOS) {
      for (Site site : Site.values()) {
        scenario.run(site, 1).forEach(System.out::println);
      }
    }
  }
}
