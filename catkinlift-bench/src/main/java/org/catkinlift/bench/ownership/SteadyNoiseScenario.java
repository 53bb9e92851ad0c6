package org.catkinlift.bench.ownership;

import com.google.common.collect.ImmutableList;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;

/**
 * Measures how many slots noise moves at steady state.
 *
 * <p>The baseline is the share that moves when everything is placed anew with each report.
 */
final class SteadyNoiseScenario implements Scenario {
  private static final int UNTIL_STEADY = 40;
  private static final int OBSERVED = 20;

  @Override
  public String name() {
    return "steady-noise";
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    var model = new PlacementModel(site, seed, 0);
    model.run(UNTIL_STEADY);
    double value = (double) model.run(OBSERVED) / model.units();
    return ImmutableList.of(
        new Measurement(
            "ownership_churn",
            site,
            name(),
            seed,
            value,
            "share of slots",
            0,
            model.replannedShare(),
            "unbounded rebalancing",
            value == 0));
  }
}
