package org.catkinlift.bench.ownership;

import static com.google.common.truth.Truth.assertThat;

import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class OwnershipScenariosTest {

  /** Guards against a scenario that is listed twice, which the command line could not select. */
  @Test
  void namesAreUnique() {
    var names = OwnershipScenarios.all().stream().map(Scenario::name).toList();
    assertThat(names).containsNoDuplicates();
  }

  /** Guards against measurements that depend on anything but site and seed. */
  @Test
  void theSameSeedGivesTheSameMeasurements() {
    for (Scenario scenario :
        new Scenario[] {UnavailabilityScenario.upstreamLoss(), new SteadyNoiseScenario()}) {
      assertThat(scenario.run(Site.ZARQA, 3)).isEqualTo(scenario.run(Site.ZARQA, 3));
    }
  }

  /**
   * Guards against moves by noise and against uneven cells, with more seeds than the bench checks.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void placementMeetsItsBoundsAtBothSites(long seed) {
    for (Site site : Site.values()) {
      for (Scenario scenario :
          new Scenario[] {new SteadyNoiseScenario(), KeyImbalanceScenario.skewedKeys()}) {
        assertThat(scenario.run(site, seed).stream().allMatch(Measurement::ok)).isTrue();
      }
    }
  }
}
