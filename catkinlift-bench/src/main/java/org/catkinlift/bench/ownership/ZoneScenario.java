package org.catkinlift.bench.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.catkinlift.bench.Measurement;
import org.catkinlift.bench.Scenario;
import org.catkinlift.bench.Site;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.ZoneName;

/**
 * Measures the share of keys that are served while an availability zone leaves and returns.
 *
 * <p>Under {@code hold} nobody takes over a lost zone, so the bound there is the share of the other
 * zones. The baseline is the share without any move.
 */
final class ZoneScenario implements Scenario {
  private static final String ZONE = "zone1";
  private static final ImmutableSet<ZoneName> ZONES = ImmutableSet.of(ZoneName.of(ZONE));
  private static final Duration TARGET = Duration.ofSeconds(3);

  /** Requests wait this long at the entry daemon while a slot moves by plan. */
  private static final Duration ENTRY_WAIT = Duration.ofSeconds(1);

  private final String name;
  private final CutOffRule rule;
  private final Course course;

  /** What happens to the zone; returns the share of keys that count as served. */
  private interface Course {
    double run(OwnershipWorld world);
  }

  private ZoneScenario(String name, CutOffRule rule, Course course) {
    this.name = name;
    this.rule = rule;
    this.course = course;
  }

  static Scenario plannedDrainAndReturn() {
    return new ZoneScenario(
        "planned-drain-and-return", CutOffRule.hold(), ZoneScenario::drainAndReturn);
  }

  static Scenario lossUnderLapse() {
    return new ZoneScenario("loss-under-lapse", CutOffRule.lapse(), ZoneScenario::loseAndReturn);
  }

  static Scenario lossUnderHold() {
    return new ZoneScenario("loss-under-hold", CutOffRule.hold(), ZoneScenario::loseAndReturn);
  }

  private static double drainAndReturn(OwnershipWorld world) {
    var gaps = new Unavailability(world);
    Configuration before = world.configuration();
    world.accept(before.toBuilder().drainedZones(ZONES).build());
    gaps.advance(Duration.ofSeconds(10));
    world.accept(before);
    gaps.advance(Duration.ofSeconds(80));
    return gaps.longest().compareTo(ENTRY_WAIT) <= 0 ? 1 : gaps.servedShare();
  }

  private static double loseAndReturn(OwnershipWorld world) {
    world.hosts().stream()
        .filter(h -> h.self().zone().value().equals(ZONE))
        .forEach(FakeHost::lose);
    world.upstreams(ZONE).forEach(FakeUpstream::lose);
    world.advance(TARGET);
    double share = new Unavailability(world).servedShare();
    world.hosts().forEach(FakeHost::recover);
    world.upstreams(ZONE).forEach(FakeUpstream::restart);
    world.advance(Duration.ofSeconds(40));
    return share;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public ImmutableList<Measurement> run(Site site, long seed) {
    OwnershipWorld world = SiteWorlds.of(site, rule);
    world.advance(Duration.ofMillis(seed % 1000));
    double others = 1 - zoneShare(world);
    double share = course.run(world);
    boolean returned = new Unavailability(world).servedShare() == 1;
    double bound = name.equals("loss-under-hold") ? others : 1;
    boolean ok = share >= bound && returned && world.checks().violations().isEmpty();
    return ImmutableList.of(
        new Measurement(
            "zone_leave_return", site, name, seed, share, "share", bound, others, "no moves", ok));
  }

  private static double zoneShare(OwnershipWorld world) {
    ImmutableSet<String> names = world.nodes(ZONE);
    long own = world.owners().values().stream().filter(u -> names.contains(u.value())).count();
    return (double) own / world.slotCount();
  }
}
