package org.catkinlift.bench.ownership;

import com.google.common.collect.ImmutableList;
import org.catkinlift.bench.Scenario;

/** Lists the scenarios of ownership, placement and cut-offs. */
public final class OwnershipScenarios {
  private static final ImmutableList<Scenario> ALL =
      ImmutableList.of(
          new UpstreamChurnScenario(),
          new SteadyNoiseScenario(),
          UnavailabilityScenario.upstreamLoss(),
          UnavailabilityScenario.coordinatorLoss(),
          UnavailabilityScenario.plannedDrain(),
          UnavailabilityScenario.daemonLossDuringOutage(),
          UnavailabilityScenario.upstreamLossDuringOutage(),
          ZoneScenario.plannedDrainAndReturn(),
          ZoneScenario.lossUnderLapse(),
          ZoneScenario.lossUnderHold(),
          KeyImbalanceScenario.skewedKeys(),
          KeyImbalanceScenario.oneKeyAboveAShare());

  private OwnershipScenarios() {}

  /**
   * Returns all scenarios.
   *
   * @return the scenarios, in the order in which they are reported
   */
  public static ImmutableList<Scenario> all() {
    return ALL;
  }
}
