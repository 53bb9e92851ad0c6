package org.catkinlift.ranges;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;

/**
 * Decides whether this daemon holds the coordinator role.
 *
 * <p>The role is a lease in one row of the store. The holder rewrites the row periodically; every
 * other daemon reads it and claims the role if the row has not changed for {@link #TERM}. The
 * holder measures its term from before it sent the write, the others from after they saw the
 * change, so the holder's term always ends first. Confined to the control thread.
 */
public final class CoordinatorLease {
  /** How long a write of the row extends the role. */
  public static final Duration TERM = Duration.ofSeconds(2);

  /**
   * How much earlier than the term the holder stops acting; covers differing clock rates and a late
   * timer.
   */
  private static final Duration EXPIRY_MARGIN = Duration.ofMillis(200);

  /**
   * Additional time that a weak host waits before it claims a free role, so that stronger hosts go
   * first.
   */
  private static final Duration WEAK_HOST_CLAIM_DELAY = Duration.ofMillis(700);

  private static final Duration RENEW_INTERVAL = Duration.ofMillis(600);

  /** If no message has confirmed the holder for this long, the row is read. */
  private static final Duration ROW_STALE_AFTER = Duration.ofMillis(1_200);

  private static final Duration READ_INTERVAL = Duration.ofMillis(400);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);

  private final HostId self;
  private final NetworkAddress peerAddress;
  private final long incarnation;

  private long sequence;
  private long rowVersion;
  private long claimVersion;
  private Optional<LeaseRow> row = Optional.empty();
  private boolean rowKnown;
  private ClockReading rowChangeSeenAt;
  private Optional<ClockReading> confirmedAt = Optional.empty();
  private Optional<PendingWrite> pendingWrite = Optional.empty();
  private boolean callInFlight;
  private ClockReading lastCallAt;
  private boolean storeFailing;
  private boolean readRequested;
  private boolean resigned;
  private boolean strongerHostKnown;
  private boolean earlierTermPossible;

  /** The confirmation of a term in an earlier era of the store that this daemon may continue. */
  private Optional<ClockReading> termToContinue = Optional.empty();

  private record PendingWrite(LeaseRow row, ClockReading sentAt, boolean isClaim) {}

  /** The next store operation for the role. */
  public sealed interface Step {
    /** No operation is due. */
    record Idle() implements Step {}

    /** Read the row. */
    record Read() implements Step {}

    /**
     * Write the row on condition of its version.
     *
     * @param row the new content
     * @param expectedVersion the version that the stored row must have; 0 if it must not exist
     * @param isClaim whether the write takes the role, rather than renewing it
     */
    record Write(LeaseRow row, long expectedVersion, boolean isClaim) implements Step {}
  }

  /**
   * Creates the lease state of one incarnation of a daemon.
   *
   * @param self this host
   * @param peerAddress the address at which this daemon accepts messages from peers
   * @param incarnation distinguishes the restarts of this daemon
   * @param now the current reading of the clocks
   */
  public CoordinatorLease(
      HostId self, NetworkAddress peerAddress, long incarnation, ClockReading now) {
    this.self = self;
    this.peerAddress = peerAddress;
    this.incarnation = incarnation;
    this.rowChangeSeenAt = now;
    this.lastCallAt = now;
  }

  /**
   * Returns whether this daemon holds the role, so that no other daemon can hold it.
   *
   * @param now the current reading of the clocks
   */
  public boolean isHeld(ClockReading now) {
    return !resigned
        && confirmedAt.filter(c -> now.isWithin(c, TERM.minus(EXPIRY_MARGIN))).isPresent();
  }

  /**
   * Returns the time since this daemon sent the last store call that confirmed the role, or empty
   * without the role.
   *
   * @param now the current reading of the clocks
   */
  public Optional<Duration> timeSinceConfirmed(ClockReading now) {
    return confirmedAt.map(now::since);
  }

  /** Returns the version of the lease row that this daemon saw or wrote last. */
  public long rowVersion() {
    return rowVersion;
  }

  /**
   * Returns the version of the write that claimed the role. A transaction conditional on this
   * version commits only while this daemon holds the role.
   */
  public long claimVersion() {
    return claimVersion;
  }

  /** Returns the holder that the store named last, or empty if nobody holds the role. */
  public Optional<LeaseRow> row() {
    return row;
  }

  /** Returns whether the last call to the store failed. */
  public boolean isStoreFailing() {
    return storeFailing;
  }

  /**
   * Returns the operation that is due now.
   *
   * @param now the current reading of the clocks
   * @return the operation; the caller must report its outcome
   */
  public Step next(ClockReading now) {
    if (callInFlight || resigned) {
      return new Step.Idle();
    }
    Duration sinceCall = now.since(lastCallAt);
    if (pendingWrite.isPresent() || !rowKnown) {
      return sinceCall.compareTo(RETRY_INTERVAL) >= 0 || !storeFailing
          ? read(now)
          : new Step.Idle();
    }
    if (confirmedAt.isPresent() && isOwnRow()) {
      Duration interval = storeFailing ? RETRY_INTERVAL : RENEW_INTERVAL;
      return sinceCall.compareTo(interval) >= 0 ? write(now) : new Step.Idle();
    }
    if (termToContinue.isPresent()) {
      return sinceCall.compareTo(RETRY_INTERVAL) >= 0 || !storeFailing
          ? write(now)
          : new Step.Idle();
    }
    if (isOwnRow() || isOwnPreviousIncarnation() || isClaimable(now)) {
      return write(now);
    }
    boolean rowStale = now.since(rowChangeSeenAt).compareTo(ROW_STALE_AFTER) >= 0;
    return (rowStale || readRequested) && sinceCall.compareTo(READ_INTERVAL) >= 0
        ? read(now)
        : new Step.Idle();
  }

  /**
   * Returns whether the term of any holder has expired and no stronger host is about to claim the
   * role.
   */
  private boolean isClaimable(ClockReading now) {
    boolean termPossible = row.isPresent() || (rowVersion == 0 && earlierTermPossible);
    Duration term = termPossible ? TERM : Duration.ZERO;
    Duration claimDelay = strongerHostKnown ? WEAK_HOST_CLAIM_DELAY : Duration.ZERO;
    return now.since(rowChangeSeenAt).compareTo(term.plus(claimDelay)) >= 0;
  }

  /**
   * Sets whether a stronger host takes part; this host then delays its claim of a free role.
   *
   * @param known whether there is a stronger host
   */
  public void setStrongerHostKnown(boolean known) {
    strongerHostKnown = known;
  }

  /**
   * Gives up the role so that a stronger host can claim it; this host may claim it again later.
   *
   * @return the version of the row that the caller has to clear; empty if a call is in flight or
   *     the role is not held
   */
  public OptionalLong stepDown() {
    if (callInFlight || !isOwnRow()) {
      return OptionalLong.empty();
    }
    long version = rowVersion;
    rowKnown = false;
    confirmedAt = Optional.empty();
    termToContinue = Optional.empty();
    pendingWrite = Optional.empty();
    return OptionalLong.of(version);
  }

  private boolean isOwnRow() {
    return row.filter(r -> r.holder().equals(self) && r.incarnation() == incarnation).isPresent();
  }

  /** A host runs one daemon at a time, so a previous incarnation at the same address has ended. */
  private boolean isOwnPreviousIncarnation() {
    return row.filter(r -> r.holder().equals(self) && r.peerAddress().equals(peerAddress))
        .isPresent();
  }

  private Step read(ClockReading now) {
    callInFlight = true;
    readRequested = false;
    lastCallAt = now;
    return new Step.Read();
  }

  private Step write(ClockReading now) {
    callInFlight = true;
    lastCallAt = now;
    var next = new LeaseRow(self, incarnation, ++sequence, peerAddress);
    boolean isClaim = confirmedAt.isEmpty();
    pendingWrite = Optional.of(new PendingWrite(next, now, isClaim));
    return new Step.Write(next, rowVersion, isClaim);
  }

  /**
   * Records the row as read from the store.
   *
   * @param content the row, or empty if it is missing or names nobody
   * @param version its version; 0 if it is missing
   * @param now the current reading of the clocks
   */
  public void rowRead(Optional<LeaseRow> content, long version, ClockReading now) {
    callInFlight = false;
    storeFailing = false;
    if (!rowKnown || version != rowVersion) {
      rowChangeSeenAt = now;
    }
    rowKnown = true;
    row = content;
    rowVersion = version;
    pendingWrite.filter(p -> content.filter(p.row()::equals).isPresent()).ifPresent(this::confirm);
    pendingWrite = Optional.empty();
    if (!isOwnRow()) {
      confirmedAt = Optional.empty();
      termToContinue = termToContinue.filter(t -> version == 0);
    }
  }

  private void confirm(PendingWrite write) {
    if (write.isClaim()) {
      claimVersion = rowVersion;
    }
    confirmedAt = Optional.of(write.sentAt());
    termToContinue = Optional.empty();
  }

  /**
   * Records that the store was restored from an older copy, which ends the role at once. If the
   * term lasted until now, this daemon claims the role of the new era without delay: no other
   * daemon can have held the role if the row of the new era does not exist yet.
   *
   * @param now the current reading of the clocks
   */
  public void storeRestored(ClockReading now) {
    termToContinue =
        confirmedAt
            .or(() -> termToContinue)
            .filter(c -> !resigned && now.isWithin(c, TERM.minus(EXPIRY_MARGIN)));
    confirmedAt = Optional.empty();
    pendingWrite = Optional.empty();
    row = Optional.empty();
    rowVersion = 0;
    claimVersion = 0;
    rowKnown = termToContinue.isPresent();
    rowChangeSeenAt = now;
    callInFlight = false;
    storeFailing = false;
    earlierTermPossible = true;
  }

  /**
   * Records that a daemon may hold the role of an earlier era of the store, so that a missing row
   * does not mean that nobody holds it.
   */
  public void earlierEraFound() {
    earlierTermPossible = true;
  }

  /**
   * Returns whether this daemon held the role until it saw the present era of the store, and may
   * hold it again with nobody in between.
   */
  public boolean mayContinueTerm() {
    return termToContinue.isPresent();
  }

  /**
   * Records a successful write of the row.
   *
   * @param version the new version of the row
   * @param now the current reading of the clocks
   */
  public void rowWritten(long version, ClockReading now) {
    callInFlight = false;
    storeFailing = false;
    rowVersion = version;
    rowChangeSeenAt = now;
    pendingWrite.ifPresent(
        p -> {
          row = Optional.of(p.row());
          confirm(p);
        });
    pendingWrite = Optional.empty();
  }

  /**
   * Records the row version that the holder stated in a message to this daemon.
   *
   * @param holder the sender of the message
   * @param version the version of its latest write
   * @param now the current reading of the clocks
   */
  public void holderVersionReceived(HostId holder, long version, ClockReading now) {
    boolean isHolder = row.filter(r -> r.holder().equals(holder)).isPresent();
    if (isHolder && version > rowVersion) {
      rowVersion = version;
      rowChangeSeenAt = now;
    }
  }

  /** Records that the presumed holder did not confirm its role; the row is read soon. */
  public void holderUnconfirmed() {
    readRequested = true;
  }

  /** Records that a call was rejected or not answered; a write may still have been applied. */
  public void callFailed() {
    callInFlight = false;
    storeFailing = true;
  }

  /** Records that a write met a different version; the row is read again. */
  public void writeConflicted() {
    callInFlight = false;
    storeFailing = false;
    rowKnown = false;
    pendingWrite = Optional.empty();
    confirmedAt = Optional.empty();
  }

  /** Gives up the role permanently; the caller has to clear the row. */
  public void resign() {
    resigned = true;
    confirmedAt = Optional.empty();
    termToContinue = Optional.empty();
  }
}
