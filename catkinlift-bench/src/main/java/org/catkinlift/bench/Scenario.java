package org.catkinlift.bench;

import com.google.common.collect.ImmutableList;

/**
 * A deterministic simulation that runs decision logic against fakes in virtual time and measures
 * the result.
 */
public interface Scenario {

  /**
   * Returns the name that selects the scenario on the command line.
   *
   * @return lower-case words separated by hyphens
   */
  String name();

  /**
   * Runs the scenario.
   *
   * @param site the deployment whose sizes are simulated
   * @param seed the seed of all random number generators
   * @return the measurements, identical for equal site and seed
   */
  ImmutableList<Measurement> run(Site site, long seed);
}
