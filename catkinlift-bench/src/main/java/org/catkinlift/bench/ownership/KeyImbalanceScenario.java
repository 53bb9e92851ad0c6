package org.catkinlift.bench.ownership;

import com.google.common.collect.ImmutableList;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;

/**
 * Measures the imbalance at steady state under a skewed mix of keys.
 *
 * <p>The bound is the target, or the floor if a single key exceeds an upstream's share and makes
 * the target impossible.
 */
final class KeyImbalanceScenario implements Scenario {
  private static final double TARGET = 1.15;

  /** Twenty minutes, in which the planner may move 80 % of the slots. */
  private static final int INTERVALS = 40;

  private final String name;
  private final double extraKeyShare;

  private KeyImbalanceScenario(String name, double extraKeyShare) {
    this.name = name;
    this.extraKeyShare = extraKeyShare;
  }

  static Scenario skewedKeys() {
    return new KeyImbalanceScenario("skewed-keys", 0);
  }

  static Scenario oneKeyAboveAShare() {
    return new KeyImbalanceScenario("one-key-above-a-share", 1.5);
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    var model = new PlacementModel(site, seed, extraKeyShare);
    model.run(INTERVALS);
    double value = model.imbalance();
    double bound = Math.max(TARGET, model.floor());
    return ImmutableList.of(
        new Measurement(
            "imbalance",
            site,
            name,
            seed,
            value,
            "max/mean",
            bound,
            model.unboundedHashImbalance(),
            "hash without bounds",
            value <= bound));
  }
}
