package org.catkinlift.bench.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.SplittableRandom;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.ZoneName;

/**
 * Measures the longest time for which a key is not served after a loss or during a planned drain.
 *
 * <p>The baseline is a fixed assignment that waits for the lost part to come back, which is as long
 * as the observation lasts.
 */
final class UnavailabilityScenario implements Scenario {
  private static final Duration OBSERVED = Duration.ofSeconds(10);
  private static final Duration LOSS_BOUND = Duration.ofSeconds(3);

  /** An entry daemon holds a request for this long while its slot moves by plan. */
  private static final Duration ENTRY_WAIT = Duration.ofSeconds(1);

  private final String name;
  private final CutOffRule rule;
  private final Duration bound;
  private final Duration tolerated;
  private final Fault fault;

  /** Makes one fault at a time that the seed chooses. */
  private interface Fault {
    void apply(OwnershipWorld world, SplittableRandom random);
  }

  private UnavailabilityScenario(
      String name, CutOffRule rule, Duration bound, Duration tolerated, Fault fault) {
    this.name = name;
    this.rule = rule;
    this.bound = bound;
    this.tolerated = tolerated;
    this.fault = fault;
  }

  static Scenario upstreamLoss() {
    return loss("upstream-loss", CutOffRule.hold(), UnavailabilityScenario::loseUpstream);
  }

  static Scenario coordinatorLoss() {
    return loss(
        "coordinator-loss",
        CutOffRule.hold(),
        (world, random) -> world.coordinator("zone1").orElseThrow().lose());
  }

  static Scenario daemonLossDuringOutage() {
    return loss(
        "daemon-loss-during-outage",
        CutOffRule.hold(),
        (world, random) -> {
          startOutage(world);
          world.hosts().stream().filter(h -> !h.hasAuthority()).findFirst().orElseThrow().lose();
        });
  }

  static Scenario upstreamLossDuringOutage() {
    return loss(
        "upstream-loss-during-outage",
        CutOffRule.lapse(),
        (world, random) -> {
          startOutage(world);
          loseUpstream(world, random);
        });
  }

  static Scenario plannedDrain() {
    return new UnavailabilityScenario(
        "planned-drain",
        CutOffRule.hold(),
        Duration.ZERO,
        ENTRY_WAIT,
        (world, random) ->
            world.accept(
                world.configuration().toBuilder()
                    .drainedZones(ImmutableSet.of(ZoneName.of("zone1")))
                    .build()));
  }

  private static Scenario loss(String name, CutOffRule rule, Fault fault) {
    return new UnavailabilityScenario(name, rule, LOSS_BOUND, Duration.ZERO, fault);
  }

  private static void loseUpstream(OwnershipWorld world, SplittableRandom random) {
    world.upstreams().get(random.nextInt(world.upstreams().size())).lose();
  }

  private static void startOutage(OwnershipWorld world) {
    world.platform().setDown(true);
    world.advance(Duration.ofSeconds(5));
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    var random = new SplittableRandom(seed);
    OwnershipWorld world = SiteWorlds.of(site, rule);
    world.advance(Duration.ofMillis(random.nextInt(1000)));
    fault.apply(world, random);
    var gaps = new Unavailability(world);
    gaps.advance(OBSERVED);
    Duration over = gaps.longest().minus(tolerated);
    double seconds = Math.max(0, over.toMillis()) / 1000.0;
    boolean ok =
        seconds <= bound.toMillis() / 1000.0
            && gaps.servedShare() == 1
            && world.checks().violations().isEmpty();
    return ImmutableList.of(
        new Measurement(
            "unavailable_time",
            site,
            name,
            seed,
            seconds,
            "s",
            bound.toMillis() / 1000.0,
            OBSERVED.toMillis() / 1000.0,
            "fixed assignment",
            ok));
  }
}
