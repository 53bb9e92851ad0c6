package org.catkinlift.bench.ownership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.catkinlift.bench.Site;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

/** Runs the coordinators of all cells with reported load. */
final class CellBalanceTest {
  private static final Duration REPORT = Duration.ofSeconds(1);
  private static final int UNTIL_BALANCED = 300;
  private static final int AFTER = 120;

  private final OwnershipWorld world = SiteWorlds.of(Site.TAVUA, CutOffRule.hold());
  private final ImmutableMap<Integer, String> firstZones = zones();

  private static String zoneOf(UpstreamId upstream) {
    return upstream.value().substring(0, upstream.value().indexOf('-'));
  }

  private ImmutableMap<Integer, String> zones() {
    return world.owners().entrySet().stream()
        .collect(toImmutableMap(e -> e.getKey(), e -> zoneOf(e.getValue())));
  }

  /** The slots that zone 1 has at the start are heavier by a fifth. */
  private double loadOf(int slot) {
    return firstZones.get(slot).equals("up1") ? 1.2 : 1;
  }

  private double loadOfZone1() {
    return zones().entrySet().stream()
        .filter(e -> e.getValue().equals("up1"))
        .mapToDouble(e -> loadOf(e.getKey()))
        .sum();
  }

  private double mean() {
    return firstZones.keySet().stream().mapToDouble(this::loadOf).sum() / Site.TAVUA.zones();
  }

  private void run(int seconds) {
    for (int i = 0; i < seconds; i++) {
      world.hosts().forEach(h -> h.handle(new ControlEvent.LoadReported(loads(h))));
      world.advance(REPORT);
    }
  }

  private ImmutableList<UpstreamLoad> loads(FakeHost host) {
    ImmutableSet<UpstreamId> leased =
        host.leases().stream().map(l -> l.upstream()).collect(ImmutableSet.toImmutableSet());
    return world.upstreams().stream()
        .filter(u -> leased.contains(u.definition().id()))
        .map(this::load)
        .collect(toImmutableList());
  }

  private UpstreamLoad load(FakeUpstream upstream) {
    ImmutableMap<Integer, Double> slots =
        upstream.slots().keySet().stream()
            .filter(upstream::owns)
            .collect(toImmutableMap(s -> s, this::loadOf));
    int limit = upstream.definition().concurrencyLimit();
    return new UpstreamLoad(
        upstream.definition().id(), "run", limit, 0, 0, slots, ImmutableMap.of());
  }

  /**
   * Guards against cells that stay uneven, homes that move on when the cells are even, and homes
   * that move because an upstream is lost.
   */
  @Test
  void theOverloadedCellGivesSlotsAndThenNoHomeMoves() {
    assertThat(loadOfZone1() / mean()).isGreaterThan(1.1);
    run(UNTIL_BALANCED);
    assertThat(loadOfZone1() / mean()).isAtMost(1.04);
    ImmutableMap<Integer, String> balanced = zones();
    assertThat(balanced).hasSize(world.slotCount());
    run(AFTER);
    assertThat(zones()).isEqualTo(balanced);
    world.upstreams("zone1").getFirst().lose();
    run(AFTER);
    assertThat(zones()).isEqualTo(balanced);
    assertThat(world.checks().violations()).isEmpty();
  }
}
