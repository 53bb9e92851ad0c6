package org.catkinlift.bench.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.SplittableRandom;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.UpstreamId;

/**
 * Measures the share of slots that move when an upstream is lost and when it returns.
 *
 * <p>The bound of the loss is the share of the lost upstream; that of the return is its fair share.
 * The baseline places slots by hash modulo the number of upstreams.
 */
final class UpstreamChurnScenario implements Scenario {
  private static final Duration AFTER_LOSS = Duration.ofSeconds(10);
  private static final Duration AFTER_RETURN = Duration.ofSeconds(60);

  @Override
  public String name() {
    return "upstream-loss-and-return";
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    OwnershipWorld world = SiteWorlds.of(site, CutOffRule.hold());
    var random = new SplittableRandom(seed);
    FakeUpstream lost = world.upstreams().get(random.nextInt(world.upstreams().size()));
    ImmutableMap<Integer, UpstreamId> before = world.owners();
    UpstreamId id = lost.definition().id();
    double own = (double) before.values().stream().filter(id::equals).count() / world.slotCount();
    lost.lose();
    world.advance(AFTER_LOSS);
    ImmutableMap<Integer, UpstreamId> without = world.owners();
    lost.restart();
    world.advance(AFTER_RETURN);
    double baseline = moduloChurn(world.slotCount(), site.keyedUpstreams());
    double fair = 1.0 / site.keyedUpstreams();
    return ImmutableList.of(
        measurement(site, seed, name() + "/loss", moved(before, without), own, baseline, world),
        measurement(
            site, seed, name() + "/return", moved(without, world.owners()), fair, baseline, world));
  }

  private static Measurement measurement(
      Site site,
      long seed,
      String scenario,
      double value,
      double bound,
      double baseline,
      OwnershipWorld world) {
    boolean ok = value <= bound && world.checks().violations().isEmpty();
    return new Measurement(
        "ownership_churn",
        site,
        scenario,
        seed,
        value,
        "share of slots",
        bound,
        baseline,
        "hash modulo",
        ok);
  }

  static double moved(ImmutableMap<Integer, UpstreamId> a, ImmutableMap<Integer, UpstreamId> b) {
    long moved = a.keySet().stream().filter(s -> !a.get(s).equals(b.get(s))).count();
    return (double) moved / a.size();
  }

  private static double moduloChurn(int slots, int upstreams) {
    int moved = 0;
    for (int slot = 0; slot < slots; slot++) {
      moved += slot % upstreams == slot % (upstreams - 1) ? 0 : 1;
    }
    return (double) moved / slots;
  }
}
