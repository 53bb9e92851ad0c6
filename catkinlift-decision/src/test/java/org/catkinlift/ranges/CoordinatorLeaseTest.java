package org.catkinlift.ranges;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.junit.jupiter.api.Test;

/** Guards against two daemons that hold the coordinator role at the same time. */
final class CoordinatorLeaseTest {
  private static final NetworkAddress ADDRESS = NetworkAddress.of("10.0.0.1", 7_000);

  private final CoordinatorLease lease =
      new CoordinatorLease(HostId.of("host-1"), ADDRESS, 1, at(0));

  private static ClockReading at(long millis) {
    return at(millis, millis);
  }

  private static ClockReading at(long millis, long wallMillis) {
    return new ClockReading(Duration.ofMillis(millis).toNanos(), wallMillis);
  }

  private void claimAt(long millis) {
    assertThat(lease.next(at(millis))).isInstanceOf(CoordinatorLease.Step.Read.class);
    lease.rowRead(Optional.empty(), 0, at(millis));
    assertThat(lease.next(at(millis))).isInstanceOf(CoordinatorLease.Step.Write.class);
    lease.rowWritten(7, at(millis + 20));
  }

  private static Optional<LeaseRow> otherHolder(long sequence) {
    return Optional.of(new LeaseRow(HostId.of("host-2"), 5, sequence, ADDRESS));
  }

  @Test
  void claimsAFreeRole() {
    claimAt(0);

    assertThat(lease.isHeld(at(100))).isTrue();
    assertThat(lease.claimVersion()).isEqualTo(7);
  }

  @Test
  void termStartsBeforeTheWriteIsSent() {
    claimAt(0);

    assertThat(lease.isHeld(at(1_790))).isTrue();
    assertThat(lease.isHeld(at(1_810))).isFalse();
  }

  @Test
  void aWeakHostDelaysItsClaimOfAFreeRole() {
    lease.setStrongerHostKnown(true);
    lease.next(at(0));
    lease.rowRead(Optional.empty(), 0, at(0));

    assertThat(lease.next(at(300))).isNotInstanceOf(CoordinatorLease.Step.Write.class);
    assertThat(lease.next(at(800))).isInstanceOf(CoordinatorLease.Step.Write.class);
  }

  @Test
  void aWeakHostDelaysItsClaimAfterTheTermExpires() {
    lease.setStrongerHostKnown(true);
    lease.next(at(0));
    lease.rowRead(otherHolder(1), 7, at(0));

    assertThat(lease.next(at(2_100))).isNotInstanceOf(CoordinatorLease.Step.Write.class);
    lease.rowRead(otherHolder(1), 7, at(2_110));
    assertThat(lease.next(at(2_800))).isInstanceOf(CoordinatorLease.Step.Write.class);
  }

  @Test
  void steppingDownEndsTheRoleAndReadsTheRowAgain() {
    claimAt(0);

    assertThat(lease.stepDown()).hasValue(7);
    assertThat(lease.isHeld(at(100))).isFalse();
    assertThat(lease.next(at(100))).isInstanceOf(CoordinatorLease.Step.Read.class);
    assertThat(lease.stepDown()).isEmpty();
  }

  @Test
  void suspensionMissedByTheMonotonicClockEndsTheRole() {
    claimAt(0);

    assertThat(lease.isHeld(at(200, 200 + 5_000))).isFalse();
  }

  @Test
  void waitsForTheTermOfAnotherHolder() {
    lease.next(at(0));
    lease.rowRead(otherHolder(1), 3, at(0));
    assertThat(lease.next(at(1_000))).isInstanceOf(CoordinatorLease.Step.Idle.class);
    assertThat(lease.next(at(1_500))).isInstanceOf(CoordinatorLease.Step.Read.class);
    lease.rowRead(otherHolder(2), 4, at(1_500));

    assertThat(lease.next(at(2_500))).isInstanceOf(CoordinatorLease.Step.Idle.class);
  }

  @Test
  void claimsTheRoleOfASilentHolder() {
    lease.next(at(0));
    lease.rowRead(otherHolder(1), 3, at(0));
    lease.next(at(1_500));
    lease.rowRead(otherHolder(1), 3, at(1_500));

    assertThat(lease.next(at(2_050)))
        .isEqualTo(
            new CoordinatorLease.Step.Write(
                new LeaseRow(HostId.of("host-1"), 1, 1, ADDRESS), 3, true));
  }

  @Test
  void claimsTheRoleOfItsOwnPreviousIncarnationAtOnce() {
    lease.next(at(0));
    lease.rowRead(Optional.of(new LeaseRow(HostId.of("host-1"), 99, 4, ADDRESS)), 3, at(10));

    assertThat(lease.next(at(20))).isInstanceOf(CoordinatorLease.Step.Write.class);
  }

  @Test
  void waitsForAHolderWithItsHostIdAtAnotherAddress() {
    lease.next(at(0));
    lease.rowRead(
        Optional.of(new LeaseRow(HostId.of("host-1"), 99, 4, NetworkAddress.of("10.0.0.2", 7_000))),
        3,
        at(10));

    assertThat(lease.next(at(20))).isInstanceOf(CoordinatorLease.Step.Idle.class);
  }

  @Test
  void messageFromTheHolderExtendsItsTerm() {
    lease.next(at(0));
    lease.rowRead(otherHolder(1), 3, at(0));
    lease.holderVersionReceived(HostId.of("host-2"), 9, at(1_900));

    assertThat(lease.next(at(2_100))).isInstanceOf(CoordinatorLease.Step.Idle.class);
  }

  @Test
  void writeWithoutAnswerIsResolvedByReading() {
    lease.next(at(0));
    lease.rowRead(Optional.empty(), 0, at(0));
    var write = (CoordinatorLease.Step.Write) lease.next(at(0));
    lease.callFailed();
    assertThat(lease.isHeld(at(500))).isFalse();
    assertThat(lease.next(at(500))).isInstanceOf(CoordinatorLease.Step.Read.class);
    lease.rowRead(Optional.of(write.row()), 7, at(520));

    assertThat(lease.isHeld(at(520))).isTrue();
    assertThat(lease.isHeld(at(1_810))).isFalse();
  }

  @Test
  void aWriteConflictEndsTheRole() {
    claimAt(0);
    lease.next(at(700));
    lease.writeConflicted();

    assertThat(lease.isHeld(at(710))).isFalse();
  }

  @Test
  void resignedRoleIsNotClaimedAgain() {
    claimAt(0);
    lease.resign();

    assertThat(lease.isHeld(at(10))).isFalse();
    assertThat(lease.next(at(5_000))).isInstanceOf(CoordinatorLease.Step.Idle.class);
  }

  /** The writes of the earlier era, and whoever made them, may be lost. */
  @Test
  void missingRowOfALaterEraIsClaimedAfterATerm() {
    lease.storeRestored(at(0));
    assertThat(lease.next(at(0))).isInstanceOf(CoordinatorLease.Step.Read.class);
    lease.rowRead(Optional.empty(), 0, at(10));

    assertThat(lease.next(at(1_000))).isNotInstanceOf(CoordinatorLease.Step.Write.class);
    assertThat(lease.next(at(1_900))).isInstanceOf(CoordinatorLease.Step.Read.class);
    lease.rowRead(Optional.empty(), 0, at(1_900));
    assertThat(lease.next(at(2_400))).isInstanceOf(CoordinatorLease.Step.Write.class);
  }

  @Test
  void holderThatSeesALaterEraInItsTermLosesTheRoleAndClaimsAtOnce() {
    claimAt(0);
    lease.storeRestored(at(1_000));

    assertThat(lease.isHeld(at(1_000))).isFalse();
    assertThat(lease.mayContinueTerm()).isTrue();
    var write = (CoordinatorLease.Step.Write) lease.next(at(1_000));
    assertThat(write.expectedVersion()).isEqualTo(0);
    assertThat(write.isClaim()).isTrue();
    lease.rowWritten(3, at(1_010));
    assertThat(lease.isHeld(at(1_010))).isTrue();
    assertThat(lease.claimVersion()).isEqualTo(3);
  }

  /** Another daemon may have held the role since the end of the term. */
  @Test
  void holderThatSeesALaterEraAfterItsTermDoesNotContinueIt() {
    claimAt(0);
    lease.storeRestored(at(1_900));

    assertThat(lease.mayContinueTerm()).isFalse();
  }

  /** The first of two later eras may have had another holder. */
  @Test
  void termIsNotContinuedInASecondEraAfterItsEnd() {
    claimAt(0);
    lease.storeRestored(at(1_000));
    lease.storeRestored(at(1_700));
    assertThat(lease.mayContinueTerm()).isTrue();
    lease.storeRestored(at(2_500));
    assertThat(lease.mayContinueTerm()).isFalse();
  }

  @Test
  void termIsNotContinuedAfterAnotherClaimOfTheEra() {
    claimAt(0);
    lease.storeRestored(at(1_000));
    var unused = lease.next(at(1_000));
    lease.writeConflicted();
    unused = lease.next(at(1_010));
    lease.rowRead(otherHolder(1), 7, at(1_020));

    assertThat(lease.mayContinueTerm()).isFalse();
  }
}
