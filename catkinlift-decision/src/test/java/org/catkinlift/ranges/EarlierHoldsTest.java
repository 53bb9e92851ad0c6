package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.upstreams.UpstreamRecord;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against a coordinator that forgets a hold after it reads a different map. */
final class EarlierHoldsTest {
  private static final Duration MAX_GRANT_DURATION = Duration.ofSeconds(10);
  private static final GrantResult NOT_SENT = new GrantResult.NotSent("not connected");
  private static final long STEP_NANOS = Duration.ofMillis(600).toNanos();

  private final KeyLoad load = new KeyLoad(Duration.ofSeconds(2), 0);
  private final RangeCoordinator coordinator = new RangeCoordinator(MAX_GRANT_DURATION, load);
  private final UpstreamRecord a = upstream(1);
  private final UpstreamRecord b = upstream(2);
  private final RangeMap mapOfA =
      new RangeMap(
          6,
          ImmutableList.of(new RangeAssignment(KeyRange.ALL, Holder.of(a), 5, ImmutableList.of())));
  private long nowNanos;

  private static UpstreamRecord upstream(int number) {
    return UpstreamRecord.builder()
        .id(UpstreamId.of("u-" + number))
        .startedMillis(1)
        .service(ServiceName.of("desk"))
        .address(NetworkAddress.of("10.0.0." + number, 80))
        .zone(ZoneName.of("z"))
        .concurrencyLimit(4)
        .build();
  }

  private ImmutableList<RangeAction> tick(UpstreamRecord candidate) {
    nowNanos += STEP_NANOS;
    return coordinator.tick(
        ImmutableList.of(new Candidate(candidate, candidate.concurrencyLimit(), true)), nowNanos);
  }

  private void readAgain(UpstreamRecord candidate, RangeMap read) {
    coordinator.storeCallFailed(nowNanos);
    assertThat(tick(candidate)).contains(new RangeAction.ReadMap());
    coordinator.mapRead(read, 7, nowNanos);
  }

  private ImmutableList<RangeAction> actionsAfterMoveTo(UpstreamRecord next) {
    tick(next).stream()
        .filter(RangeAction.Grant.class::isInstance)
        .map(RangeAction.Grant.class::cast)
        .forEach(g -> coordinator.callEnded(g.callId(), NOT_SENT, nowNanos));
    coordinator.mapWritten(8, nowNanos);
    return tick(next);
  }

  private static boolean hasGrant(ImmutableList<RangeAction> actions) {
    return actions.stream().anyMatch(RangeAction.Grant.class::isInstance);
  }

  /** Guards against a first read that found no row, after which the stored map is read. */
  @Tag("known-red")
  @Test
  void firstReadWithoutRowDoesNotHideHoldsOfAnEarlierCoordinator() {
    coordinator.start(nowNanos);
    var unusedRead = tick(b);
    coordinator.mapRead(RangeMap.EMPTY, 0, nowNanos);
    var unusedWrite = tick(b);
    readAgain(b, mapOfA);

    assertThat(hasGrant(actionsAfterMoveTo(b))).isFalse();
  }

  /** Guards against a write that counted as done although the store kept the earlier map. */
  @Tag("known-red")
  @Test
  void holderUnderAMapThatWasNotStoredIsNotForgotten() {
    coordinator.start(nowNanos);
    var unusedRead = tick(b);
    coordinator.mapRead(RangeMap.EMPTY, 0, nowNanos);
    var unusedWrite = tick(b);
    coordinator.mapWritten(7, nowNanos);
    assertThat(hasGrant(tick(b))).isTrue();
    readAgain(a, RangeMap.EMPTY);

    assertThat(hasGrant(actionsAfterMoveTo(a))).isFalse();
  }
}
