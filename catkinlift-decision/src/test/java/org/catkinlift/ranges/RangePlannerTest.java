package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.upstreams.UpstreamRecord;
import org.junit.jupiter.api.Test;

/**
 * Guards against keys without a holder, forgotten previous holders, and moves that reduce no load.
 */
final class RangePlannerTest {
  private final KeyLoad load = new KeyLoad(Duration.ofSeconds(3), 0);

  private static UpstreamRecord upstream(int number, long started) {
    return UpstreamRecord.builder()
        .id(UpstreamId.of("u-" + number))
        .startedMillis(started)
        .service(ServiceName.of("desk"))
        .address(NetworkAddress.of("10.0.0." + number, 80))
        .zone(ZoneName.of("z"))
        .concurrencyLimit(4)
        .build();
  }

  private static Candidate candidate(int number) {
    return new Candidate(upstream(number, 1), 4, true);
  }

  private Optional<RangeMap> plan(RangeMap map, Candidate... candidates) {
    return RangePlanner.plan(
            map, ImmutableList.copyOf(candidates), load, a -> !a.isMoving(), (k, u) -> true)
        .map(RangePlan::map);
  }

  private static int keysOf(RangeMap map) {
    return map.assignments().stream().mapToInt(a -> a.range().size()).sum();
  }

  private static long rangesOf(RangeMap map, int number) {
    return map.assignments().stream()
        .filter(a -> a.holder().upstream().value().equals("u-" + number))
        .count();
  }

  @Test
  void firstMapCoversAllKeysWithEqualShares() {
    RangeMap map = plan(RangeMap.EMPTY, candidate(1), candidate(2), candidate(3)).orElseThrow();

    assertThat(keysOf(map)).isEqualTo(KeyRange.KEY_COUNT);
    assertThat(map.assignments()).hasSize(3);
    assertThat(map.assignments().get(0).range().size()).isAtLeast(KeyRange.KEY_COUNT / 4);
    assertThat(map.assignments().stream().anyMatch(RangeAssignment::isMoving)).isFalse();
  }

  @Test
  void keepsAStableMapWithoutLoad() {
    RangeMap map = plan(RangeMap.EMPTY, candidate(1), candidate(2)).orElseThrow();

    assertThat(plan(map, candidate(1), candidate(2))).isEmpty();
  }

  @Test
  void keysOfALostUpstreamWaitForItsRelease() {
    RangeMap map = plan(RangeMap.EMPTY, candidate(1), candidate(2), candidate(3)).orElseThrow();
    RangeMap next = plan(map, candidate(1), candidate(2)).orElseThrow();

    assertThat(keysOf(next)).isEqualTo(KeyRange.KEY_COUNT);
    assertThat(rangesOf(next, 3)).isEqualTo(0);
    for (RangeAssignment assignment : next.assignments()) {
      boolean kept = map.assignments().contains(assignment);
      assertThat(assignment.isMoving()).isEqualTo(!kept);
      assertThat(kept || assignment.fence() >= map.nextFence()).isTrue();
    }
  }

  @Test
  void newIncarnationGetsKeysWithoutWaitingForThePreviousOne() {
    RangeMap map = plan(RangeMap.EMPTY, candidate(1), candidate(2)).orElseThrow();
    RangeMap next = plan(map, candidate(1), new Candidate(upstream(2, 50), 4, true)).orElseThrow();

    assertThat(next.assignments().stream().anyMatch(RangeAssignment::isMoving)).isFalse();
    assertThat(rangesOf(next, 2)).isEqualTo(1);
    assertThat(next.nextFence()).isGreaterThan(map.nextFence());
  }

  @Test
  void movesLoadFromTheMostToTheLeastUtilizedUpstream() {
    RangeMap map = plan(RangeMap.EMPTY, candidate(1), candidate(2)).orElseThrow();
    KeyRange busy = map.assignments().get(0).range();
    for (int key = busy.first(); key <= busy.last(); key += 100) {
      load.add(key, 0.05);
    }
    RangeMap next = plan(map, candidate(1), candidate(2)).orElseThrow();

    assertThat(keysOf(next)).isEqualTo(KeyRange.KEY_COUNT);
    assertThat(next.assignments().stream().filter(RangeAssignment::isMoving).count()).isEqualTo(1);
  }

  @Test
  void aSingleHotKeyStaysWhileOtherKeysOfItsHolderMove() {
    RangeMap map = plan(RangeMap.EMPTY, candidate(1), candidate(2)).orElseThrow();
    KeyRange range = map.assignments().get(0).range();
    int hotKey = range.first() + range.size() / 2;
    for (int key = range.first(); key <= range.last(); key += 100) {
      load.add(key, 0.01);
    }
    load.add(hotKey, 3);
    RangeMap present = map;
    for (int round = 0; round < 10; round++) {
      Optional<RangeMap> next = plan(present, candidate(1), candidate(2));
      if (next.isEmpty()) {
        break;
      }
      present = withMovesCompleted(next.get());
    }

    Holder holder = present.find(hotKey).orElseThrow().holder();
    double others =
        present.assignments().stream()
            .filter(a -> a.holder().equals(holder) && !a.range().contains(hotKey))
            .mapToDouble(a -> load.of(a.range()))
            .sum();
    assertThat(holder).isEqualTo(map.assignments().get(0).holder());
    assertThat(others).isLessThan(0.5);
  }

  @Test
  void hotAdjacentKeysAreSpreadOverManyUpstreamsInOneRound() {
    Candidate[] candidates = new Candidate[40];
    for (int i = 0; i < candidates.length; i++) {
      candidates[i] = candidate(i + 1);
    }
    RangeMap map = plan(RangeMap.EMPTY, candidates).orElseThrow();
    int first = map.assignments().get(7).range().first() + 300;
    for (int key = first; key < first + 200; key++) {
      load.add(key, 1.2);
    }
    RangeMap next = plan(map, candidates).orElseThrow();

    long holders =
        next.assignments().stream()
            .filter(a -> a.range().overlaps(new KeyRange(first, first + 199)))
            .map(RangeAssignment::holder)
            .distinct()
            .count();
    assertThat(holders).isAtLeast(25);
  }

  @Test
  void aHotKeyMovesToAMuchFasterUpstream() {
    RangeMap map = plan(RangeMap.EMPTY, candidate(1), candidate(2)).orElseThrow();
    int hotKey = map.assignments().get(0).range().first() + 7;
    load.add(hotKey, 60);
    var slow = new Candidate(upstream(1, 1), 2, true);
    var fast = new Candidate(upstream(2, 1), 6, true);
    RangeMap present = map;
    for (int round = 0; round < 10; round++) {
      Optional<RangeMap> next = plan(present, slow, fast);
      if (next.isEmpty()) {
        break;
      }
      present = withMovesCompleted(next.get());
    }

    assertThat(present.find(hotKey).orElseThrow().holder()).isEqualTo(Holder.of(fast.upstream()));
  }

  @Test
  void mergesAdjacentRangesOfOneHolder() {
    RangeMap map = plan(RangeMap.EMPTY, candidate(1)).orElseThrow();
    RangeAssignment whole = map.assignments().get(0);
    var split =
        new RangeMap(
            map.nextFence() + 1,
            ImmutableList.of(
                whole.withRange(new KeyRange(0, 999)),
                whole.withRange(new KeyRange(1_000, KeyRange.KEY_COUNT - 1))));
    RangeMap next = plan(split, candidate(1)).orElseThrow();

    assertThat(next.assignments()).hasSize(1);
    assertThat(next.assignments().get(0).fence()).isAtLeast(split.nextFence());
  }

  /**
   * Busy keys that change every second left hundreds of ranges behind, each of which is granted
   * again every second.
   */
  @Test
  void rangesStayBoundedWhileBusyKeysChange() {
    Candidate[] candidates =
        IntStream.rangeClosed(1, 10)
            .mapToObj(RangePlannerTest::candidate)
            .toArray(Candidate[]::new);
    RangeMap map = plan(RangeMap.EMPTY, candidates).orElseThrow();
    var random = new SplittableRandom(5);
    long now = 0;
    for (int second = 0; second < 60; second++) {
      int busyArea = random.nextInt(KeyRange.KEY_COUNT - 200);
      for (int i = 0; i < 400; i++) {
        load.add(busyArea + (int) (200 * random.nextDouble() * random.nextDouble()), 0.15);
      }
      for (int round = 0; round < 2; round++) {
        now += Duration.ofMillis(500).toNanos();
        load.decay(now);
        map = withMovesCompleted(plan(map, candidates).orElse(map));
      }
      assertThat(map.assignments().size()).isAtMost(10 * 17);
    }
    for (int round = 0; round < 120; round++) {
      now += Duration.ofMillis(500).toNanos();
      load.decay(now);
      map = withMovesCompleted(plan(map, candidates).orElse(map));
    }
    assertThat(map.assignments().size()).isAtMost(10 * 7);
    assertThat(keysOf(map)).isEqualTo(KeyRange.KEY_COUNT);
  }

  private static RangeAssignment assignment(int first, int last, int number, long fence) {
    Holder holder = Holder.of(upstream(number, 1));
    return new RangeAssignment(new KeyRange(first, last), holder, fence, ImmutableList.of());
  }

  /** Returns a map of the given assignments, followed by many ranges of the upstreams 2 and 3. */
  private static RangeMap mapWithManyRanges(RangeAssignment... first) {
    ImmutableList.Builder<RangeAssignment> assignments = ImmutableList.builder();
    assignments.add(first);
    int key = first[first.length - 1].range().last() + 1;
    long fence = first.length + 1L;
    for (int i = 0; i < 20; i++) {
      assignments.add(assignment(key, key + 99, 2 + i % 2, fence++));
      key += 100;
    }
    assignments.add(assignment(key, KeyRange.KEY_COUNT - 1, 2, fence));
    return new RangeMap(fence + 1, assignments.build());
  }

  /** A range that had just been joined was moved on before it was merged with its neighbor. */
  @Test
  void idleRangeNextToARangeOfItsHolderDoesNotMove() {
    RangeMap map = mapWithManyRanges(assignment(0, 99, 3, 1), assignment(100, 199, 3, 2));
    RangeMap next = plan(map, candidate(2), candidate(3)).orElseThrow();

    assertThat(next.find(150).orElseThrow().holder()).isEqualTo(Holder.of(upstream(3, 1)));
  }

  /** An overloaded upstream gave keys away and got them back in the next round. */
  @Test
  void idleKeyDoesNotMoveToABusierNeighbor() {
    RangeMap map =
        mapWithManyRanges(
            assignment(0, 49, 1, 1), assignment(50, 50, 2, 2), assignment(51, 99, 1, 3));
    for (int key = 0; key < 100; key++) {
      load.add(key, 0.01);
    }
    RangeMap next = plan(map, candidate(1), candidate(2), candidate(3)).orElse(map);

    assertThat(next.find(50).orElseThrow().holder()).isEqualTo(Holder.of(upstream(2, 1)));
  }

  private static RangeMap withMovesCompleted(RangeMap map) {
    return new RangeMap(
        map.nextFence(),
        map.assignments().stream()
            .map(RangeAssignment::withoutPreviousHolders)
            .collect(ImmutableList.toImmutableList()));
  }
}
