package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.upstreams.UpstreamRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against keys that return to an upstream while requests that were sent to it during its
 * former hold may still wait there. The load is constant, and all grants succeed at once.
 */
final class KeyReturnTest {
  /** The longest time that a request of the users' deployments may take. */
  private static final Duration MAX_REQUEST_TIME = Duration.ofSeconds(3);

  private static final Duration RUN_TIME = Duration.ofSeconds(40);
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration LOAD_INTERVAL = Duration.ofMillis(250);
  private static final Duration LOAD_TIME_CONSTANT = Duration.ofSeconds(2);
  private static final Duration MAX_GRANT_DURATION = Duration.ofSeconds(10);
  private static final int CONCURRENCY_LIMIT = 4;
  private static final int RANGE_SIZE = 100;
  private static final GrantResult RELEASED = new GrantResult.Done(Optional.of("handover"));

  /** The former holder keeps the keys until its grant has expired. */
  private static final GrantResult RELEASE_NOT_SENT = new GrantResult.NotSent("connect failed");

  private static final ImmutableList<Candidate> CANDIDATES =
      ImmutableList.of(candidate(1), candidate(2), candidate(3));

  private final KeyLoad load = new KeyLoad(LOAD_TIME_CONSTANT, 0);
  private final RangeCoordinator coordinator = new RangeCoordinator(MAX_GRANT_DURATION, load);
  private final List<RangeAssignment> assignments = new ArrayList<>();
  private final Map<FormerHold, Long> endNanos = new HashMap<>();
  private final List<String> returns = new ArrayList<>();
  private RangeMap storedMap = RangeMap.EMPTY;
  private long storedVersion;
  private GrantResult releaseResult = RELEASED;
  private double busyKeyLoad;

  /** The time during which an upstream had a key. */
  private record FormerHold(int key, UpstreamId upstream) {}

  private static Candidate candidate(int number) {
    UpstreamRecord upstream =
        UpstreamRecord.builder()
            .id(UpstreamId.of("u-" + number))
            .startedMillis(1)
            .service(ServiceName.of("desk"))
            .address(NetworkAddress.of("10.0.0." + number, 80))
            .zone(ZoneName.of("z"))
            .concurrencyLimit(CONCURRENCY_LIMIT)
            .build();
    return new Candidate(upstream, CONCURRENCY_LIMIT, true);
  }

  private int firstFreeKey() {
    return assignments.isEmpty() ? 0 : assignments.getLast().range().last() + 1;
  }

  private void assign(int candidate, int keys) {
    var range = new KeyRange(firstFreeKey(), firstFreeKey() + keys - 1);
    Holder holder = Holder.of(CANDIDATES.get(candidate).upstream());
    long fence = assignments.size() + 1L;
    assignments.add(new RangeAssignment(range, holder, fence, ImmutableList.of()));
  }

  private void assignAlternately(int candidate, int otherCandidate, int ranges) {
    for (int i = 0; i < ranges; i++) {
      assign(i % 2 == 0 ? candidate : otherCandidate, RANGE_SIZE);
    }
  }

  private void run() {
    storedMap = new RangeMap(assignments.size() + 1L, ImmutableList.copyOf(assignments));
    storedVersion = 1;
    coordinator.start(0);
    for (long now = 0; now < RUN_TIME.toNanos(); now += TICK.toNanos()) {
      if (now % LOAD_INTERVAL.toNanos() == 0) {
        addLoad();
      }
      for (RangeAction action : coordinator.tick(CANDIDATES, now)) {
        execute(action, now);
      }
    }
  }

  private void addLoad() {
    double share = (double) LOAD_INTERVAL.toNanos() / LOAD_TIME_CONSTANT.toNanos();
    for (int key = 0; key < RANGE_SIZE; key++) {
      load.add(key, busyKeyLoad * share);
    }
  }

  private void execute(RangeAction action, long now) {
    switch (action) {
      case RangeAction.ReadMap read -> coordinator.mapRead(storedMap, storedVersion, now);
      case RangeAction.WriteMap write -> {
        write.map().assignments().forEach(a -> recordMove(a, now));
        storedMap = write.map();
        storedVersion++;
        coordinator.mapWritten(storedVersion, now);
      }
      case RangeAction.Grant grant -> {
        recordEndOfFormerHolds(grant, now);
        coordinator.callEnded(grant.callId(), new GrantResult.Done(Optional.empty()), now);
      }
      case RangeAction.Release release ->
          coordinator.callEnded(release.callId(), releaseResult, now);
    }
  }

  /** A first grant proves that the holds of the earlier holders have ended. */
  private void recordEndOfFormerHolds(RangeAction.Grant grant, long now) {
    if (!(grant.reason() instanceof GrantReason.FirstGrant)) {
      return;
    }
    KeyRange range = grant.assignment().range();
    for (Holder former : grant.assignment().previousHolders()) {
      for (int key = range.first(); key <= range.last(); key++) {
        endNanos.put(new FormerHold(key, former.upstream()), now);
      }
    }
  }

  private void recordMove(RangeAssignment next, long now) {
    UpstreamId to = next.holder().upstream();
    for (int key = next.range().first(); key <= next.range().last(); key++) {
      Long ended = endNanos.get(new FormerHold(key, to));
      boolean moves = !storedMap.find(key).orElseThrow().holder().upstream().equals(to);
      if (moves && ended != null && now - ended < MAX_REQUEST_TIME.toNanos()) {
        long millis = Duration.ofNanos(now - ended).toMillis();
        returns.add("key %d returns to %s %d ms after its hold".formatted(key, to, millis));
      }
    }
  }

  private void assignIdleRanges(int ranges) {
    assign(2, RANGE_SIZE);
    assignAlternately(0, 1, ranges);
    assign(2, KeyRange.KEY_COUNT - firstFreeKey());
  }

  private void assignBusyKeys(double utilization) {
    busyKeyLoad = utilization * CONCURRENCY_LIMIT / RANGE_SIZE;
    assign(0, RANGE_SIZE);
    assignAlternately(1, 2, 20);
    assign(1, KeyRange.KEY_COUNT - firstFreeKey());
  }

  @ParameterizedTest
  @ValueSource(ints = {14, 16, 20, 30})
  void idleRangeDoesNotReturnWithinTheTimeOfARequest(int ranges) {
    assignIdleRanges(ranges);
    run();

    assertThat(returns).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(doubles = {1.1, 1.3, 2.0})
  void busyKeyDoesNotReturnToItsOverloadedHolderWithinTheTimeOfARequest(double utilization) {
    assignBusyKeys(utilization);
    run();

    assertThat(returns).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(ints = {14, 16, 20, 30})
  void idleRangeDoesNotReturnSoonAfterItsFormerHoldHasExpired(int ranges) {
    releaseResult = RELEASE_NOT_SENT;
    assignIdleRanges(ranges);
    run();

    assertThat(returns).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(doubles = {1.1, 1.3, 2.0})
  void busyKeyDoesNotReturnSoonAfterItsFormerHoldHasExpired(double utilization) {
    releaseResult = RELEASE_NOT_SENT;
    assignBusyKeys(utilization);
    run();

    assertThat(returns).isEmpty();
  }
}
