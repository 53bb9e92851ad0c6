package org.catkinlift.bench;

import com.google.common.collect.ImmutableList;

/** Runs a few decision objects against small fakes on virtual time and measures the result. */
public interface Scenario {

  /**
   * Returns the name that selects the scenario on the command line.
   *
   * @return lower-case words joined by hyphens
   */
  String name();

  /**
   * Runs the scenario.
   *
   * @param site the deployment whose sizes apply
   * @param seed the seed of all random numbers
   * @return the measurements; the same for the same site and seed
   */
  ImmutableList<Measurement> run(Site site, long seed);
}
