package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against more calls to one upstream than the connections that it accepts. */
final class CoordinatorCallsTest {
  private static final int RANGES = 60;
  private static final Duration TICK = Duration.ofMillis(10);
  private static final Duration MAX_GRANT_DURATION = Duration.ofSeconds(10);
  private static final ImmutableList<Candidate> CANDIDATES =
      ImmutableList.of(TestCandidates.candidate(1, 1));

  private final RangeCoordinator coordinator =
      new RangeCoordinator(MAX_GRANT_DURATION, new KeyLoad(Duration.ofSeconds(2), 0));
  private final Deque<Long> openCalls = new ArrayDeque<>();
  private long nowNanos;

  @BeforeEach
  void takeRole() {
    coordinator.start(nowNanos);
    coordinator.tick(CANDIDATES, nowNanos);
    coordinator.mapRead(mapOfOneUpstream(), 1, nowNanos);
  }

  private static RangeMap mapOfOneUpstream() {
    Holder holder = Holder.of(CANDIDATES.get(0).upstream());
    int keys = KeyRange.KEY_COUNT / RANGES;
    ImmutableList<RangeAssignment> assignments =
        IntStream.range(0, RANGES)
            .mapToObj(i -> new KeyRange(i * keys, (i + 1) * keys - 1))
            .map(r -> new RangeAssignment(r, holder, r.first() + 1L, ImmutableList.of()))
            .collect(ImmutableList.toImmutableList());
    return new RangeMap(KeyRange.KEY_COUNT + 1L, assignments);
  }

  private void tick() {
    nowNanos += TICK.toNanos();
    coordinator.tick(CANDIDATES, nowNanos).stream()
        .filter(RangeAction.Grant.class::isInstance)
        .map(RangeAction.Grant.class::cast)
        .forEach(g -> openCalls.add(g.callId()));
  }

  private void endCall(GrantResult result) {
    coordinator.callEnded(openCalls.remove(), result, nowNanos);
  }

  /** Grants of all ranges at once exceeded the connections that an upstream accepts. */
  @Test
  void openGrantsToOneUpstreamAreBoundedUntilAllAreGranted() {
    for (int i = 0; i < RANGES; i++) {
      tick();
      assertThat(openCalls.size()).isAtMost(2);
      endCall(new GrantResult.Done(Optional.empty()));
    }

    assertThat(coordinator.progress().granted()).isEqualTo(RANGES);
  }

  /** Each of the calls behind it would otherwise add a timeout of its own. */
  @Test
  void noGrantFollowsOneWithoutAnswerUntilTheRetryDelayIsOver() {
    for (GrantResult failure :
        List.of(new GrantResult.NotSent("refused"), new GrantResult.Unanswered("timeout"))) {
      tick();
      while (!openCalls.isEmpty()) {
        endCall(failure);
      }
      tick();
      assertThat(openCalls).isEmpty();

      nowNanos += Duration.ofMillis(300).toNanos();
    }
    tick();
    assertThat(openCalls).hasSize(1);
  }
}
