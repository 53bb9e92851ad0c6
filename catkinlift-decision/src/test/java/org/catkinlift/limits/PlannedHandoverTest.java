package org.catkinlift.limits;

import static com.google.common.truth.Truth.assertThat;
import static org.catkinlift.limits.DispatcherFixture.sent;

import java.time.Duration;
import org.catkinlift.model.DispatchRelease;
import org.catkinlift.model.Epoch;
import org.junit.jupiter.api.Test;

/**
 * Guards against exceeding an upstream's limit when its lease is handed over from one dispatcher to
 * another.
 */
final class PlannedHandoverTest {
  private static final Duration LEASE_DURATION = Duration.ofHours(1);

  private static DispatchRelease release(long counter, int running) {
    return new DispatchRelease(
        Epoch.of(1, counter), running, Duration.ofMillis(500), Duration.ofSeconds(9));
  }

  /** Guards against ignoring requests of the previous dispatcher that are still in flight. */
  @Test
  void sendsImmediatelyWithinTheCapacityLeftByInheritedRequests() {
    DispatcherFixture next = DispatcherFixture.withoutLease(4);
    next.offerMany(6);
    assertThat(sent(next.grantAfter(release(1, 3), 2))).hasSize(1);
    assertThat(sent(next.grantAfter(release(1, 1), 2))).hasSize(2);
    assertThat(next.inFlight()).isEqualTo(3);
  }

  /** Guards against a repeated or reordered release that raises the count or extends the wait. */
  @Test
  void repeatedReleaseChangesNothing() {
    DispatcherFixture next = DispatcherFixture.withoutLease(4);
    next.offerMany(6);
    next.grantAfter(release(1, 1), 2);
    next.grantAfter(release(1, 3), 2);
    next.advance(Duration.ofSeconds(8));
    next.grantAfter(release(1, 3), 2);
    assertThat(next.inFlight()).isEqualTo(3);
    next.advance(Duration.ofSeconds(1));
    assertThat(sent(next.tick())).hasSize(1);
  }

  /** Guards against accepting a release of this daemon's own lease or of a later one. */
  @Test
  void releaseOfAnotherLeaseIsIgnored() {
    DispatcherFixture next = DispatcherFixture.withoutLease(4);
    next.offerMany(4);
    assertThat(sent(next.grantAfter(release(2, 0), 2))).isEmpty();
    assertThat(sent(next.grantAfter(release(3, 0), 2))).isEmpty();
  }

  /** Guards against a report that does not include requests on their way to the upstream. */
  @Test
  void reportIsUsedOnlyAfterTheLatestStartAndWithoutOwnRequests() {
    DispatcherFixture next = DispatcherFixture.withoutLease(2);
    next.grantAfter(release(1, 2), 2);
    next.reportInherited(0);
    assertThat(next.offerMany(1)).isEmpty();
    next.advance(Duration.ofMillis(510));
    assertThat(sent(next.reportInherited(1))).hasSize(1);
    next.reportInherited(0);
    assertThat(next.offerMany(1)).isEmpty();
  }

  /** Guards against a release that omits requests of the dispatcher before this one. */
  @Test
  void releaseCountsOwnAndInheritedRequests() {
    DispatcherFixture middle = DispatcherFixture.withoutLease(4);
    middle.offerMany(2);
    middle.grantAfter(release(1, 2), 2);
    middle.releaseLease(2);
    assertThat(middle.release().orElseThrow().running()).isEqualTo(4);
    assertThat(middle.release().orElseThrow().epoch()).isEqualTo(Epoch.of(1, 2));
    middle.answer(1);
    assertThat(middle.release().orElseThrow().running()).isEqualTo(3);
  }

  /** Guards against a release by a dispatcher that does not know its inherited requests. */
  @Test
  void noReleaseWhileInheritedRequestsAreUnknown() {
    DispatcherFixture middle = DispatcherFixture.withoutLease(4);
    middle.grant(1, LEASE_DURATION);
    middle.releaseLease(1);
    assertThat(middle.release()).isEmpty();
  }

  /** Guards against reporting a lost lease as released, although it may be granted again. */
  @Test
  void lostLeaseIsNotReleased() {
    DispatcherFixture dispatcher = DispatcherFixture.ready(4);
    dispatcher.loseLease();
    assertThat(dispatcher.release()).isEmpty();
  }

  /** Guards against requests that are sent after the release was stated. */
  @Test
  void releasedLeaseIsNotAcceptedAgain() {
    DispatcherFixture dispatcher = DispatcherFixture.ready(4);
    dispatcher.releaseLease(1);
    dispatcher.grant(1, LEASE_DURATION);
    assertThat(dispatcher.offerMany(1)).isEmpty();
    assertThat(dispatcher.release()).isPresent();
    dispatcher.grant(2, LEASE_DURATION);
    assertThat(dispatcher.release()).isEmpty();
  }
}
