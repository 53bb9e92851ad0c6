package org.catkinlift.ranges;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * A linearizable store whose replies may be lost, whose operations may be applied late, and which
 * may be restored from an older copy.
 */
final class SimulatedStore {
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_500);
  private static final Duration MAX_LATE_OPERATION_DELAY = Duration.ofSeconds(6);

  /** One of this many calls that the store cannot answer is applied nevertheless. */
  private static final int CALLS_PER_UNANSWERED_OPERATION = 4;

  private final SimulationEnvironment environment;

  /** The states after each write, the newest one first. */
  private final Deque<State> states = new ArrayDeque<>();

  private boolean down;
  private long era;
  private boolean repliesDropped;

  /** The daemons' rows of one era. */
  private record Rows(
      Optional<LeaseRow> lease,
      long leaseVersion,
      long claimVersion,
      RangeMap map,
      long mapVersion) {
    static final Rows NONE = new Rows(Optional.empty(), 0, 0, RangeMap.EMPTY, 0);
  }

  /** What the store holds after a write. */
  private record State(long writtenNanos, long version, ImmutableMap<Long, Rows> rowsByEra) {

    Rows rows(long ofEra) {
      return rowsByEra.getOrDefault(ofEra, Rows.NONE);
    }

    State with(long ofEra, Rows rows, long nowNanos) {
      ImmutableMap<Long, Rows> next =
          ImmutableMap.<Long, Rows>builder().putAll(rowsByEra).put(ofEra, rows).buildKeepingLast();
      return new State(nowNanos, version + 1, next);
    }
  }

  SimulatedStore(SimulationEnvironment environment) {
    this.environment = environment;
    states.push(new State(0, 0, ImmutableMap.of()));
  }

  boolean isDown() {
    return down;
  }

  void setDown(boolean isDown) {
    down = isDown;
  }

  /** Loses all writes of some time, and issues their versions again. */
  void restore(Duration age) {
    era++;
    long copiedNanos = environment.nowNanos() - age.toNanos();
    while (states.size() > 1 && states.peek().writtenNanos() > copiedNanos) {
      states.pop();
    }
    environment.record(new SimulationEvent.StoreRestored(era, age));
  }

  /** Returns the newest map of any era. */
  RangeMap newestMap() {
    ImmutableMap<Long, Rows> rowsByEra = states.element().rowsByEra();
    return rowsByEra.entrySet().stream()
        .filter(e -> e.getValue().mapVersion() > 0)
        .max(ImmutableMap.Entry.comparingByKey())
        .map(e -> e.getValue().map())
        .orElse(RangeMap.EMPTY);
  }

  private Rows rows(long ofEra) {
    return states.element().rows(ofEra);
  }

  private long write(long ofEra, Rows rows) {
    states.push(states.element().with(ofEra, rows, environment.nowNanos()));
    return states.element().version();
  }

  private long nextVersion() {
    return states.element().version() + 1;
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

  /** Passes on a result, unless another era began between the call and its reply. */
  private void reply(SimulatedHost to, long calledIn, Runnable answer) {
    if (!repliesDropped) {
      long repliedIn = era;
      environment.after(
          environment.usualDelay(),
          () -> to.runIfUp(() -> to.storeReplied(calledIn, repliedIn, answer)));
    }
  }

  private static Runnable onTimeout(SimulatedHost from, long calledIn, Runnable answer) {
    return () -> from.runIfUp(() -> from.storeReplied(calledIn, calledIn, answer));
  }

  void writeLease(SimulatedHost from, CoordinatorLease.Step.Write write) {
    CoordinatorLease requester = from.lease();
    long in = from.era();
    call(
        from,
        () -> {
          Rows present = rows(in);
          if (present.leaseVersion() != write.expectedVersion()) {
            reply(from, in, requester::writeConflicted);
            return;
          }
          long version = nextVersion();
          long claim = write.isClaim() ? version : present.claimVersion();
          long written =
              write(
                  in,
                  new Rows(
                      Optional.of(write.row()),
                      version,
                      claim,
                      present.map(),
                      present.mapVersion()));
          reply(from, in, () -> requester.rowWritten(written, from.now()));
        },
        onTimeout(from, in, requester::callFailed));
  }

  /** Empties the row of the role on condition of its version. */
  void clearLease(SimulatedHost from, long expectedVersion) {
    long in = from.era();
    call(
        from,
        () -> {
          Rows present = rows(in);
          if (present.leaseVersion() == expectedVersion) {
            var unused =
                write(
                    in,
                    new Rows(
                        Optional.empty(),
                        nextVersion(),
                        present.claimVersion(),
                        present.map(),
                        present.mapVersion()));
          }
        },
        () -> {});
  }

  void readLease(SimulatedHost from) {
    CoordinatorLease requester = from.lease();
    long in = from.era();
    call(
        from,
        () -> {
          Rows read = rows(in);
          reply(from, in, () -> requester.rowRead(read.lease(), read.leaseVersion(), from.now()));
        },
        onTimeout(from, in, requester::callFailed));
  }

  void readMap(SimulatedHost from, RangeCoordinator requester) {
    long in = from.era();
    call(
        from,
        () -> {
          Rows read = rows(in);
          reply(from, in, () -> from.mapRead(requester, read.map(), read.mapVersion()));
        },
        onTimeout(from, in, () -> requester.storeCallFailed(from.nanos())));
  }

  void writeMap(
      SimulatedHost from,
      RangeCoordinator requester,
      RangeAction.WriteMap write,
      long expectedClaim) {
    long in = from.era();
    LongConsumer onWritten = version -> requester.mapWritten(version, from.nanos());
    call(
        from,
        () -> {
          Rows present = rows(in);
          if (present.mapVersion() != write.expectedVersion()
              || present.claimVersion() != expectedClaim) {
            reply(from, in, () -> requester.storeCallFailed(from.nanos()));
            return;
          }
          long written =
              write(
                  in,
                  new Rows(
                      present.lease(),
                      present.leaseVersion(),
                      present.claimVersion(),
                      write.map(),
                      nextVersion()));
          environment.record(new SimulationEvent.MapWritten(from.index(), write.map()));
          reply(from, in, () -> onWritten.accept(written));
        },
        onTimeout(from, in, () -> requester.storeCallFailed(from.nanos())));
  }
}
