package org.catkinlift.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.stream.IntStream;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.routing.KeyHasher;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class UnitLoadsTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int SLOTS = 4;
  private static final UpstreamId A = UpstreamId.of("a");
  private static final UpstreamId B = UpstreamId.of("b");
  private static final String KEY = "key";
  private static final int SLOT = KeyHasher.slotOf(KEY, SLOTS);
  private static final int OTHER_SLOT = (SLOT + 1) % SLOTS;
  private static final Epoch EPOCH = Epoch.of(1, 1);

  private final UnitTable table = new UnitTable(SLOTS);
  private final UnitLoads loads = new UnitLoads(table);
  private final KeyReturns returns = new KeyReturns(table, loads);

  /** Upstream a owns the slot of the key; upstream b owns the other slots. */
  @BeforeEach
  void assignSlots() {
    table.retainHomeSlots(ImmutableSet.of(0, 1, 2, 3));
    IntStream.range(0, SLOTS).forEach(s -> table.assign(s, s == SLOT ? A : B, EPOCH));
  }

  /** Reports the given load of the key and a slot load of 10 for each upstream. */
  private void report(double keyLoad, long second) {
    report(A, ImmutableMap.of(SLOT, 10.0), ImmutableMap.of(KEY, keyLoad), second);
    report(B, ImmutableMap.of(OTHER_SLOT, 10.0), ImmutableMap.of(), second);
  }

  private void report(
      UpstreamId upstream,
      ImmutableMap<Integer, Double> slotLoads,
      ImmutableMap<String, Double> keyLoads,
      long second) {
    loads.onReported(
        new UpstreamLoad(upstream, "run", 4, 0, 0, slotLoads, keyLoads), second * SECOND);
  }

  /**
   * Guards against overrides caused by a few requests, which look like a heavy load shortly after
   * the start.
   */
  @Test
  void noKeyIsHotBeforeReportsCoverHalfLife() {
    report(9, 0);
    assertThat(loads.newHotKeys(2, 29 * SECOND)).isEmpty();
    report(9, 30);
    assertThat(loads.newHotKeys(2, 30 * SECOND)).containsExactly(KEY);
  }

  /** Guards against a fair share computed from averages, which lag behind a growing load. */
  @Test
  void fairShareFollowsLatestReports() {
    report(3, 0);
    report(3, 30);
    assertThat(loads.newHotKeys(2, 30 * SECOND)).containsExactly(KEY);
    report(A, ImmutableMap.of(SLOT, 100.0), ImmutableMap.of(KEY, 3.0), 31);
    assertThat(loads.newHotKeys(2, 31 * SECOND)).isEmpty();
  }

  /** Guards against moves between cells based on the load of an upstream that no longer reports. */
  @Test
  void loadIsUnknownWhileUpstreamDoesNotReport() {
    report(0, 0);
    report(0, 30);
    var both = ImmutableSet.of(A, B);
    assertThat(loads.measured(both, 7, 8, 30 * SECOND).orElseThrow().load()).isWithin(1e-9).of(20);
    report(A, ImmutableMap.of(SLOT, 10.0), ImmutableMap.of(), 40);
    assertThat(loads.measured(both, 7, 8, 40 * SECOND)).isEmpty();
    assertThat(loads.measured(ImmutableSet.of(A), 7, 8, 40 * SECOND)).isPresent();
  }

  private ImmutableSet<Integer> returnsStartedBetween(long from, long until, double keyLoad) {
    for (long second = from; second < until; second++) {
      report(keyLoad, second);
      ImmutableSet<Integer> started = returns.start(2, second * SECOND);
      if (!started.isEmpty()) {
        return started;
      }
    }
    return ImmutableSet.of();
  }

  /**
   * Guards against overrides that are never removed, and against removal after a short pause in the
   * load.
   */
  @Test
  void keyReturnsToItsSlotAfterCooling() {
    table.addOverride(KEY, EPOCH, EPOCH);
    int unit = table.unitOf(KEY).orElseThrow();
    assertThat(returnsStartedBetween(0, 400, 5)).isEmpty();
    assertThat(returnsStartedBetween(400, 600, 0)).isEmpty();
    assertThat(returnsStartedBetween(600, 700, 5)).isEmpty();
    assertThat(returnsStartedBetween(700, 1_200, 0)).containsExactly(unit);
    table.startRelease(unit, Epoch.of(1, 2), 1_200 * SECOND);
    assertThat(returns.finish()).isEmpty();
    table.endRelease(unit);
    assertThat(returns.finish()).containsExactly(KEY);
    assertThat(table.hasOverride(KEY)).isFalse();
    assertThat(table.owner(SLOT)).isEqualTo(Optional.of(A));
  }

  /**
   * Guards against removing an override because reports are missing, which says nothing about the
   * load of the key.
   */
  @Test
  void keyDoesNotReturnWhileItsOwnerDoesNotReport() {
    table.addOverride(KEY, EPOCH, EPOCH);
    assertThat(returnsStartedBetween(0, 200, 0)).isEmpty();
    assertThat(returns.start(2, 1_000 * SECOND)).isEmpty();
  }
}
