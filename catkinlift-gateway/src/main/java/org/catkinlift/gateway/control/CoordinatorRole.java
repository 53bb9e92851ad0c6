package org.catkinlift.gateway.control;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.OptionalLong;
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.gateway.store.RowKey;
import org.catkinlift.gateway.store.StoreResult;
import org.catkinlift.gateway.store.StoredRow;
import org.catkinlift.gateway.store.Transaction;
import org.catkinlift.model.HostId;
import org.catkinlift.ranges.ClockReading;
import org.catkinlift.ranges.CoordinatorLease;

/**
 * Executes the store operations by which {@link CoordinatorLease} claims, renews and gives up the
 * coordinator role. Confined to the control thread.
 */
final class CoordinatorRole {
  /** The minimum time that a new holder keeps the role, in which all hosts send a report. */
  private static final Duration YIELD_DELAY_AFTER_CLAIM = Duration.ofSeconds(1);

  /**
   * The minimum interval between yields, because a stronger host may be unable to claim the role.
   */
  private static final Duration YIELD_INTERVAL = Duration.ofSeconds(30);

  /** Other daemons poll the store themselves if the last confirmation of the lease is older. */
  static final Duration MAX_CONFIRMATION_AGE = Duration.ofMillis(850);

  private final HostId self;
  private final MetadataStore store;
  private final CoordinatorLease lease;
  private final double cpuCapacity;
  private final EventLog log;

  private boolean held;
  private long earliestYieldNanos;

  CoordinatorRole(
      HostId self, double cpuCapacity, MetadataStore store, CoordinatorLease lease, EventLog log) {
    this.self = self;
    this.cpuCapacity = cpuCapacity;
    this.store = store;
    this.lease = lease;
    this.log = log;
  }

  /** Returns whether this daemon held the role at the last {@link #refresh}. */
  boolean isHeld() {
    return held;
  }

  /**
   * Starts the store operation that is due and updates whether the role is held.
   *
   * @return true if the role was claimed or lost
   */
  boolean refresh() {
    ClockReading now = HostClock.now();
    execute(lease.next(now));
    boolean heldNow = lease.isHeld(now);
    if (heldNow == held) {
      return false;
    }
    held = heldNow;
    earliestYieldNanos =
        Math.max(earliestYieldNanos, now.nanos() + YIELD_DELAY_AFTER_CLAIM.toNanos());
    log.log(
        held ? EventCode.COORDINATOR_ROLE_TAKEN : EventCode.COORDINATOR_ROLE_LOST,
        ImmutableMap.of("row_version", lease.rowVersion(), "cpu", cpuCapacity));
    return true;
  }

  /** Returns whether other daemons may rely on this one to relay updates of the store. */
  boolean isRecentlyConfirmed() {
    return lease
        .timeSinceConfirmed(HostClock.now())
        .filter(age -> age.compareTo(MAX_CONFIRMATION_AGE) < 0)
        .isPresent();
  }

  /** Yields the role to a stronger host, because its work would load a small host too heavily. */
  void yieldToStronger(long nowNanos) {
    if (nowNanos < earliestYieldNanos || lease.isStoreFailing()) {
      return;
    }
    OptionalLong version = lease.stepDown();
    if (version.isEmpty()) {
      return;
    }
    earliestYieldNanos = nowNanos + YIELD_INTERVAL.toNanos();
    lease.setStrongerHostKnown(true);
    log.log(
        EventCode.COORDINATOR_ROLE_YIELDED, ImmutableMap.of("row_version", version.getAsLong()));
    clearRow(version.getAsLong());
  }

  /** Gives up the role permanently before shutdown, so that another daemon can claim it. */
  void resign() {
    boolean heldNow = lease.isHeld(HostClock.now());
    long version = lease.rowVersion();
    lease.resign();
    if (heldNow) {
      clearRow(version);
    }
  }

  private void clearRow(long version) {
    store.commit(
        new Transaction(
            ImmutableMap.of(DaemonRows.lease(store.era()), version),
            ImmutableMap.of(DaemonRows.lease(store.era()), ""),
            ImmutableSet.of()),
        result -> log.log(EventCode.COORDINATOR_ROLE_LOST, ImmutableMap.of("cause", "given up")));
  }

  private void execute(CoordinatorLease.Step step) {
    switch (step) {
      case CoordinatorLease.Step.Idle idle -> {}
      case CoordinatorLease.Step.Read read ->
          store.read(
              DaemonRows.lease(store.era()), CallsOfEra.inPresentEra(store, this::leaseRead));
      case CoordinatorLease.Step.Write write -> writeLease(write);
    }
  }

  private void writeLease(CoordinatorLease.Step.Write write) {
    RowKey leaseKey = DaemonRows.lease(store.era());
    ImmutableMap.Builder<RowKey, String> puts = ImmutableMap.builder();
    puts.put(leaseKey, LeaseRowCodec.encode(write.row()));
    if (write.isClaim()) {
      puts.put(DaemonRows.claim(store.era()), self.value());
    }
    store.commit(
        new Transaction(
            ImmutableMap.of(leaseKey, write.expectedVersion()),
            puts.buildOrThrow(),
            ImmutableSet.of()),
        CallsOfEra.inPresentEra(store, this::leaseWritten));
  }

  private void leaseRead(StoreResult<StoredRow> result) {
    switch (result) {
      case StoreResult.Done<StoredRow> done ->
          lease.rowRead(
              LeaseRowCodec.decode(done.value().value()), done.value().version(), HostClock.now());
      case StoreResult.Conflict<StoredRow> conflict -> lease.callFailed();
      case StoreResult.Refused<StoredRow> refused -> lease.callFailed();
      case StoreResult.Unknown<StoredRow> unknown -> lease.callFailed();
    }
  }

  private void leaseWritten(StoreResult<Long> result) {
    switch (result) {
      case StoreResult.Done<Long> done -> lease.rowWritten(done.value(), HostClock.now());
      case StoreResult.Conflict<Long> conflict -> lease.writeConflicted();
      case StoreResult.Refused<Long> refused -> lease.callFailed();
      case StoreResult.Unknown<Long> unknown -> lease.callFailed();
    }
  }
}
