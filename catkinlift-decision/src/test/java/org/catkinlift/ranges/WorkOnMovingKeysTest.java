package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.upstreams.UpstreamRecord;
import org.junit.jupiter.api.Test;

/** Guards against a grant of a key on which the holder before is still at work. */
final class WorkOnMovingKeysTest {
  private static final CallOutcome NOT_SENT = new CallOutcome.NotSent(Duration.ofMillis(5));
  private static final CallOutcome ANSWER_LOST = new CallOutcome.AnswerLost(Duration.ofMillis(5));
  private static final Duration AFTER_FIRST_RENEWAL = Duration.ofMillis(1_600);
  private static final Duration MOVE_TIME = Duration.ofMillis(400);

  /** Longer than a release without an answer, and shorter than a lease. */
  private static final Duration LONG_WORK = Duration.ofMillis(3_800);

  private static final Duration PAST_LAST_EXPIRY = Duration.ofSeconds(15);

  private static final int KEY = KeySample.HOT_KEYS.first();
  private static final int OTHER_KEY = KeySample.HOT_KEYS.last();

  private final CoordinatorDriver driver = new CoordinatorDriver();
  private final UpstreamRecord a = upstream(1, 1);
  private final UpstreamRecord restartedA = upstream(1, 2);
  private final UpstreamRecord b = upstream(2, 1);
  private final UpstreamRecord c = upstream(3, 1);
  private final UpstreamRecord d = upstream(4, 1);

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

  private void assignAllToA() {
    driver.setCandidates(a);
    driver.run(AFTER_FIRST_RENEWAL);
    assertThat(driver.holdsAll(a)).isTrue();
  }

  private void assertMovesAfterWorkOf(UpstreamRecord previous, UpstreamRecord next) {
    driver.runUntil(() -> driver.holds(next, KEY));
    assertThat(driver.isAtWork(previous, KEY)).isFalse();
    driver.run(PAST_LAST_EXPIRY);

    assertThat(driver.violations()).isEmpty();
    assertThat(driver.holdsAll(next)).isTrue();
  }

  /** Guards against a release that counts as confirmed before the work has ended. */
  @Test
  void releaseIsWaitedForUntilTheWorkEnds() {
    assignAllToA();
    driver.startWork(a, KEY, Duration.ofMillis(900));
    driver.setCandidates(b);

    assertMovesAfterWorkOf(a, b);
  }

  /** The check fails if the upstream answers the release during the work. */
  @Test
  void releaseThatIsConfirmedDuringWorkBreaksOwnership() {
    driver.setBehavior(UpstreamBehavior.CONFIRMS_RELEASES_DURING_WORK);
    assignAllToA();
    driver.startWork(a, KEY, Duration.ofMillis(900));
    driver.setCandidates(b);
    driver.run(MOVE_TIME);

    assertThat(driver.violations()).hasSize(1);
    assertThat(driver.violations().get(0).rule())
        .isEqualTo(OwnershipViolation.Rule.NO_WORK_ELSEWHERE);
    assertThat(driver.violations().get(0).key()).isEqualTo(KEY);
  }

  /** Guards against a repeated release that is confirmed although the first one still waits. */
  @Test
  void repeatedReleaseWaitsForTheSameWork() {
    assignAllToA();
    driver.startWork(a, KEY, LONG_WORK);
    driver.setReleaseOutcome(a, ANSWER_LOST);
    driver.setCandidates(b);
    driver.run(CallOutcome.LATEST_ARRIVAL);
    driver.setReleaseOutcome(
        a, new CallOutcome.Answered(Duration.ofMillis(5), Duration.ofMillis(5)));

    assertMovesAfterWorkOf(a, b);
  }

  /** Guards against a release of another coordinator that is confirmed during the work. */
  @Test
  void releaseOfTheNextCoordinatorWaitsForTheSameWork() {
    assignAllToA();
    driver.startWork(a, KEY, LONG_WORK);
    driver.setCandidates(b);
    driver.run(MOVE_TIME);
    driver.replaceCoordinator();

    assertMovesAfterWorkOf(a, b);
  }

  /** Guards against an answer to one of two overlapping releases that counts for all their keys. */
  @Test
  void overlappingReleasesWaitForTheWorkOnTheirKeys() {
    assignAllToA();
    driver.startWork(a, KEY, LONG_WORK);
    driver.startWork(a, OTHER_KEY, Duration.ofSeconds(1));
    driver.setOutcome(b, NOT_SENT);
    driver.setCandidates(b);
    driver.run(MOVE_TIME);
    assertThat(driver.releasesInFlight()).isEqualTo(1);
    driver.setBusySlots(KEY, 2);
    driver.setBusySlots(OTHER_KEY, 2);
    driver.setCandidates(c, d);
    driver.run(MOVE_TIME);
    assertThat(driver.releasesInFlight()).isGreaterThan(2);

    driver.runUntil(() -> driver.holds(c, OTHER_KEY) || driver.holds(d, OTHER_KEY));
    assertThat(driver.isAtWork(a, OTHER_KEY)).isFalse();
    assertThat(driver.isAtWork(a, KEY)).isTrue();
    driver.run(PAST_LAST_EXPIRY);

    assertThat(driver.violations()).isEmpty();
    assertThat(driver.holds(c, KEY) || driver.holds(d, KEY)).isTrue();
  }

  /** Guards against a move of some keys that does not wait because the others are renewed. */
  @Test
  void partOfAGrantMovesAfterTheWorkWhileTheRestIsRenewed() {
    assignAllToA();
    driver.setBusySlots(KEY, 3);
    driver.setBusySlots(OTHER_KEY, 3);
    driver.run(AFTER_FIRST_RENEWAL);
    driver.startWork(a, KEY, LONG_WORK);
    driver.startWork(a, OTHER_KEY, LONG_WORK);
    driver.setCandidates(a, b);
    driver.runUntil(() -> !driver.holds(a, KEY) || !driver.holds(a, OTHER_KEY));
    int movedKey = driver.holds(a, KEY) ? OTHER_KEY : KEY;
    int keptKey = driver.holds(a, KEY) ? KEY : OTHER_KEY;

    driver.runUntil(() -> driver.holds(b, movedKey));
    assertThat(driver.isAtWork(a, movedKey)).isFalse();
    assertThat(driver.holds(a, keptKey)).isTrue();
    assertThat(driver.violations()).isEmpty();
  }

  /** Guards against a restart during a release that hides work of the new process. */
  @Test
  void restartBetweenAReleaseAndItsAnswerEndsTheWork() {
    assignAllToA();
    driver.startWork(a, KEY, LONG_WORK);
    driver.setCandidates(b);
    driver.run(MOVE_TIME);
    driver.restart(a);
    driver.run(MOVE_TIME);
    assertThat(driver.holds(b, KEY)).isTrue();
    driver.startWork(b, KEY, LONG_WORK);
    driver.setCandidates(restartedA);

    assertMovesAfterWorkOf(b, restartedA);
  }

  /** Guards against a renewal that a new process takes between the release and its repetition. */
  @Test
  void workOfANewProcessUnderALateRenewalIsWaitedFor() {
    driver.setCandidates(a);
    driver.run(Duration.ofMillis(1_200));
    driver.setGrantOutcome(a, new CallOutcome.AnswerLost(CallOutcome.LATEST_ARRIVAL));
    driver.run(MOVE_TIME);
    driver.setGrantOutcome(a, NOT_SENT);
    driver.restart(a);
    driver.setCandidates(b);
    driver.runUntil(() -> driver.holds(a, KEY));
    driver.startWork(a, KEY, LONG_WORK);

    assertMovesAfterWorkOf(a, b);
  }

  /** Guards against work at the first holder of a key that has come back within 200 ms. */
  @Test
  void requestIsExecutedAgainWhereItsKeyHasComeBack() {
    assignAllToA();
    driver.startWork(a, KEY, Duration.ofMillis(60));
    driver.run(Duration.ofMillis(60));
    driver.setCandidates(b);
    driver.runUntil(() -> !driver.holds(a, KEY));
    Duration left = driver.now();
    driver.setCandidates(a);
    driver.runUntil(() -> driver.holds(b, KEY));
    driver.runUntil(() -> driver.holds(a, KEY));
    assertThat(driver.now().minus(left)).isLessThan(Duration.ofMillis(200));
    driver.startWork(a, KEY, LONG_WORK);
    driver.setCandidates(c);

    assertMovesAfterWorkOf(a, c);
  }

  /** Guards against the answer to an earlier release that ends a later hold, with work under it. */
  @Test
  void releaseThatWaitedForEarlierWorkDoesNotEndALaterHold() {
    assignAllToA();
    driver.startWork(a, KEY, Duration.ofSeconds(1));
    driver.setOutcome(b, NOT_SENT);
    driver.setCandidates(b);
    driver.run(MOVE_TIME);
    driver.setCandidates(a);
    driver.runUntil(() -> driver.holds(a, KEY));
    assertThat(driver.releasesInFlight()).isEqualTo(1);
    driver.startWork(a, KEY, LONG_WORK);
    driver.runUntil(() -> driver.releasesInFlight() == 0);
    driver.setCandidates(c);

    assertMovesAfterWorkOf(a, c);
  }

  /** Guards against waiting for work that outlasts the lease. */
  @Test
  void keysMoveAtTheEndOfALeaseThatWorkOutlasts() {
    assignAllToA();
    driver.startWork(a, KEY, PAST_LAST_EXPIRY);
    driver.setCandidates(b);
    driver.runUntil(() -> driver.holds(b, KEY));

    assertThat(driver.isAtWork(a, KEY)).isTrue();
    assertThat(driver.violations()).isEmpty();
  }
}
