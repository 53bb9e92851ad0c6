package org.catkinlift.gateway.control;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.OptionalLong;
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.gateway.store.RowKey;
import org.catkinlift.gateway.store.StoreReply;
import org.catkinlift.gateway.store.StoredRow;
import org.catkinlift.gateway.store.Transaction;
import org.catkinlift.model.HostId;
import org.catkinlift.ranges.ClockReading;
import org.catkinlift.ranges.CoordinatorLease;

/**
 * Carries out in the store what {@link CoordinatorLease} decides about the coordinator role.
 * Confined to the control thread.
 */
final class CoordinatorRole {
  /** A new holder first keeps the role for so long, in which all hosts report. */
  private static final Duration FIRST_YIELD = Duration.ofSeconds(1);

  /** A stronger host may be unable to take the role; it gets the next chance only after this. */
  private static final Duration YIELD_INTERVAL = Duration.ofSeconds(30);

  /** Older contact with the store than this is no reason for others to rely on it. */
  private static final Duration NEWS_AGE = Duration.ofMillis(850);

  private final HostId self;
  private final MetadataStore store;
  private final CoordinatorLease lease;
  private final EventLog log;

  private boolean held;
  private long mayYieldNanos;

  CoordinatorRole(HostId self, MetadataStore store, CoordinatorLease lease, EventLog log) {
    this.self = self;
    this.store = store;
    this.lease = lease;
    this.log = log;
  }

  /** Tells whether this daemon had the role when it was checked last. */
  boolean isHeld() {
    return held;
  }

  /**
   * Does what is due about the role.
   *
   * @return true if the role was taken or lost
   */
  boolean refresh() {
    ClockReading now = HostClock.now();
    step(lease.next(now));
    boolean heldNow = lease.isHeld(now);
    if (heldNow == held) {
      return false;
    }
    held = heldNow;
    mayYieldNanos = Math.max(mayYieldNanos, now.nanos() + FIRST_YIELD.toNanos());
    log.log(
        held ? EventCode.COORDINATOR_ROLE_TAKEN : EventCode.COORDINATOR_ROLE_LOST,
        ImmutableMap.of("row_version", lease.rowVersion()));
    return true;
  }

  /** Tells whether others may rely on this daemon for the store's news. */
  boolean hasRecentNews() {
    return lease
        .timeSinceConfirmed(HostClock.now())
        .filter(age -> age.compareTo(NEWS_AGE) < 0)
        .isPresent();
  }

  /** Leaves the role to a stronger host, because its work would take too much of a small one. */
  void yieldToStronger(long nowNanos) {
    if (nowNanos < mayYieldNanos || lease.isStoreFailing()) {
      return;
    }
    OptionalLong version = lease.stepDown();
    if (version.isEmpty()) {
      return;
    }
    mayYieldNanos = nowNanos + YIELD_INTERVAL.toNanos();
    lease.setStrongerHostKnown(true);
    log.log(
        EventCode.COORDINATOR_ROLE_YIELDED, ImmutableMap.of("row_version", version.getAsLong()));
    clear(version.getAsLong());
  }

  /** Gives the role up for good before the daemon ends, so that another one can take it. */
  void resign() {
    boolean heldNow = lease.isHeld(HostClock.now());
    long version = lease.rowVersion();
    lease.resign();
    if (heldNow) {
      clear(version);
    }
  }

  private void clear(long version) {
    store.commit(
        new Transaction(
            ImmutableMap.of(OwnRows.LEASE, version),
            ImmutableMap.of(OwnRows.LEASE, ""),
            ImmutableSet.of()),
        reply -> log.log(EventCode.COORDINATOR_ROLE_LOST, ImmutableMap.of("cause", "given up")));
  }

  private void step(CoordinatorLease.Step step) {
    switch (step) {
      case CoordinatorLease.Step.Idle idle -> {}
      case CoordinatorLease.Step.Read read -> store.read(OwnRows.LEASE, this::leaseRead);
      case CoordinatorLease.Step.Write write -> writeLease(write);
    }
  }

  private void writeLease(CoordinatorLease.Step.Write write) {
    ImmutableMap.Builder<RowKey, String> puts = ImmutableMap.builder();
    puts.put(OwnRows.LEASE, LeaseRowCodec.encode(write.row()));
    if (write.isClaim()) {
      puts.put(OwnRows.CLAIM, self.value());
    }
    store.commit(
        new Transaction(
            ImmutableMap.of(OwnRows.LEASE, write.expectedVersion()),
            puts.buildOrThrow(),
            ImmutableSet.of()),
        this::leaseWritten);
  }

  private void leaseRead(StoreReply<StoredRow> reply) {
    switch (reply) {
      case StoreReply.Done<StoredRow> done ->
          lease.rowRead(
              LeaseRowCodec.decode(done.value().value()), done.value().version(), HostClock.now());
      case StoreReply.Conflict<StoredRow> conflict -> lease.callFailed();
      case StoreReply.Refused<StoredRow> refused -> lease.callFailed();
      case StoreReply.Unknown<StoredRow> unknown -> lease.callFailed();
    }
  }

  private void leaseWritten(StoreReply<Long> reply) {
    switch (reply) {
      case StoreReply.Done<Long> done -> lease.rowWritten(done.value(), HostClock.now());
      case StoreReply.Conflict<Long> conflict -> lease.writeConflicted();
      case StoreReply.Refused<Long> refused -> lease.callFailed();
      case StoreReply.Unknown<Long> unknown -> lease.callFailed();
    }
  }
}
