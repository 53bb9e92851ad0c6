package org.catkinlift.ranges;

import java.time.Duration;
import java.util.Optional;

/** A linearizable store whose replies may be lost and whose operations may be applied late. */
final class SimulatedStore {
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_500);
  private static final Duration MAX_LATE_OPERATION_DELAY = Duration.ofSeconds(6);

  /** One of this many calls that the store cannot answer is applied nevertheless. */
  private static final int CALLS_PER_UNANSWERED_OPERATION = 4;

  private final SimulationEnvironment environment;
  private boolean down;
  private long version;
  private Optional<LeaseRow> lease = Optional.empty();
  private long leaseVersion;
  private long claimVersion;
  private RangeMap map = RangeMap.EMPTY;
  private long mapVersion;
  private boolean repliesDropped;

  SimulatedStore(SimulationEnvironment environment) {
    this.environment = environment;
  }

  boolean isDown() {
    return down;
  }

  void setDown(boolean isDown) {
    down = isDown;
  }

  private void call(SimulatedHost from, Runnable operation, Runnable onTimeout) {
    boolean unavailable = down || from.isDisconnectedFromStore();
    if (unavailable || environment.nextIsFaulty()) {
      boolean isApplied =
          unavailable
              ? environment.random().nextInt(CALLS_PER_UNANSWERED_OPERATION) == 0
              : environment.random().nextBoolean();
      if (isApplied) {
        boolean isPrompt = environment.random().nextBoolean();
        Duration delay =
            isPrompt
                ? environment.usualDelay()
                : environment.delayBetween(Duration.ZERO, MAX_LATE_OPERATION_DELAY);
        environment.after(delay, () -> runWithoutReply(operation));
      }
      environment.after(CALL_TIMEOUT, onTimeout);
      return;
    }
    environment.after(environment.usualDelay(), operation);
  }

  /** Applies an operation whose reply is lost. */
  private void runWithoutReply(Runnable operation) {
    repliesDropped = true;
    operation.run();
    repliesDropped = false;
  }

  private void reply(SimulatedHost to, Runnable answer) {
    if (!repliesDropped) {
      environment.after(environment.usualDelay(), () -> to.runIfUp(answer));
    }
  }

  void writeLease(SimulatedHost from, CoordinatorLease.Step.Write write) {
    CoordinatorLease requester = from.lease();
    call(
        from,
        () -> {
          if (leaseVersion != write.expectedVersion()) {
            reply(from, requester::writeConflicted);
            return;
          }
          version++;
          leaseVersion = version;
          lease = Optional.of(write.row());
          if (write.isClaim()) {
            claimVersion = version;
          }
          long written = version;
          reply(from, () -> requester.rowWritten(written, from.now()));
        },
        () -> from.runIfUp(requester::callFailed));
  }

  /** Empties the row of the role on condition of its version. */
  void clearLease(SimulatedHost from, long expectedVersion) {
    call(
        from,
        () -> {
          if (leaseVersion == expectedVersion) {
            version++;
            leaseVersion = version;
            lease = Optional.empty();
          }
        },
        () -> {});
  }

  void readLease(SimulatedHost from) {
    CoordinatorLease requester = from.lease();
    call(
        from,
        () -> {
          Optional<LeaseRow> row = lease;
          long read = leaseVersion;
          reply(from, () -> requester.rowRead(row, read, from.now()));
        },
        () -> from.runIfUp(requester::callFailed));
  }

  void readMap(SimulatedHost from, RangeCoordinator requester) {
    call(
        from,
        () -> {
          RangeMap read = map;
          long readVersion = mapVersion;
          reply(from, () -> requester.mapRead(read, readVersion, from.nanos()));
        },
        () -> from.runIfUp(() -> requester.storeCallFailed(from.nanos())));
  }

  void writeMap(
      SimulatedHost from,
      RangeCoordinator requester,
      RangeAction.WriteMap write,
      long expectedClaim) {
    call(
        from,
        () -> {
          if (mapVersion != write.expectedVersion() || claimVersion != expectedClaim) {
            reply(from, () -> requester.storeCallFailed(from.nanos()));
            return;
          }
          version++;
          mapVersion = version;
          map = write.map();
          environment.record(new SimulationEvent.MapWritten(from.index(), map));
          long written = version;
          reply(from, () -> requester.mapWritten(written, from.nanos()));
        },
        () -> from.runIfUp(() -> requester.storeCallFailed(from.nanos())));
  }
}
