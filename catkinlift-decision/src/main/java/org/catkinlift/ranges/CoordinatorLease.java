package org.catkinlift.ranges;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;

/**
 * Decides whether this daemon has the coordinator role.
 *
 * <p>The role lies in one row of the store. Its holder writes the row again and again; every other
 * daemon reads it and takes the role if the row has not changed for {@link #TERM}. The holder
 * counts its term from before it sent the write, the others from after they saw it, so the holder's
 * term always ends first. Confined to the control thread.
 */
public final class CoordinatorLease {
  /** How long the role lasts after the write of its row. */
  public static final Duration TERM = Duration.ofSeconds(2);

  /** The holder stops earlier than others may begin; covers clock rates and a late timer. */
  private static final Duration EXPIRY_MARGIN = Duration.ofMillis(200);

  /** A weak host leaves a free role to stronger ones for so long. */
  private static final Duration WEAK_HOST_CLAIM_DELAY = Duration.ofMillis(700);

  private static final Duration RENEW_INTERVAL = Duration.ofMillis(600);

  /** Without news of the holder from peers for this long, the row is read. */
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

  private record PendingWrite(LeaseRow row, ClockReading sentAt, boolean isClaim) {}

  /** What to do about the role. */
  public sealed interface Step {
    /** Nothing is due. */
    record Idle() implements Step {}

    /** The row is to be read. */
    record Read() implements Step {}

    /**
     * The row is to be written if it still has a version.
     *
     * @param row the new content
     * @param expectedVersion the version that it must have; 0 if it must not exist
     * @param isClaim whether the role is taken and not only kept
     */
    record Write(LeaseRow row, long expectedVersion, boolean isClaim) implements Step {}
  }

  /**
   * Creates the decision for one life of a daemon.
   *
   * @param self this host
   * @param peerAddress where this daemon takes messages from others
   * @param incarnation tells lives of this daemon apart
   * @param now the time
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
   * Tells whether this daemon has the role at a moment.
   *
   * @param now the time
   * @return true if no other daemon can have it
   */
  public boolean isHeld(ClockReading now) {
    return !resigned
        && confirmedAt.filter(c -> now.isWithin(c, TERM.minus(EXPIRY_MARGIN))).isPresent();
  }

  /**
   * Returns how long ago the last call was made by which the store confirmed the role.
   *
   * @param now the time
   * @return the time, or empty without the role
   */
  public Optional<Duration> timeSinceConfirmed(ClockReading now) {
    return confirmedAt.map(now::since);
  }

  /**
   * Returns the version of the row under which the role is held.
   *
   * @return the version
   */
  public long rowVersion() {
    return rowVersion;
  }

  /**
   * Returns the version of the write by which the role was taken. What is written under the
   * condition of this version is written only while the role is held.
   *
   * @return the version
   */
  public long claimVersion() {
    return claimVersion;
  }

  /**
   * Returns the holder that the store named last.
   *
   * @return the row, or empty if nobody has the role
   */
  public Optional<LeaseRow> row() {
    return row;
  }

  /**
   * Tells whether the last call to the store failed.
   *
   * @return true from a failed call to the next successful one
   */
  public boolean isStoreFailing() {
    return storeFailing;
  }

  /**
   * Decides what to do now.
   *
   * @param now the time
   * @return the step; its outcome must be reported
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
    if (isOwnRow() || isOwnPreviousIncarnation() || isClaimable(now)) {
      return write(now);
    }
    boolean rowStale = now.since(rowChangeSeenAt).compareTo(ROW_STALE_AFTER) >= 0;
    return (rowStale || readRequested) && sinceCall.compareTo(READ_INTERVAL) >= 0
        ? read(now)
        : new Step.Idle();
  }

  /** Tells whether nobody can have the role, and no stronger host is about to take it. */
  private boolean isClaimable(ClockReading now) {
    Duration term = row.isEmpty() ? Duration.ZERO : TERM;
    Duration claimDelay = strongerHostKnown ? WEAK_HOST_CLAIM_DELAY : Duration.ZERO;
    return now.since(rowChangeSeenAt).compareTo(term.plus(claimDelay)) >= 0;
  }

  /**
   * Notes whether a stronger host takes part; this one then leaves it the first chance of taking a
   * free role.
   *
   * @param known whether there is one
   */
  public void setStrongerHostKnown(boolean known) {
    strongerHostKnown = known;
  }

  /**
   * Gives the role up so that a stronger host can take it; this one goes on taking part.
   *
   * @return the version of the row that the caller is to clear; empty if a call is on its way
   */
  public OptionalLong stepDown() {
    if (callInFlight || !isOwnRow()) {
      return OptionalLong.empty();
    }
    long version = rowVersion;
    rowKnown = false;
    confirmedAt = Optional.empty();
    pendingWrite = Optional.empty();
    return OptionalLong.of(version);
  }

  private boolean isOwnRow() {
    return row.filter(r -> r.holder().equals(self) && r.incarnation() == incarnation).isPresent();
  }

  /** A host runs one daemon at a time, so an earlier life at the same place has ended. */
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
   * Takes the row as the store has it.
   *
   * @param content the row, or empty if it is missing or names nobody
   * @param version its version; 0 if it is missing
   * @param now the time
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
    }
  }

  private void confirm(PendingWrite write) {
    if (write.isClaim()) {
      claimVersion = rowVersion;
    }
    confirmedAt = Optional.of(write.sentAt());
  }

  /**
   * Takes the success of a write.
   *
   * @param version the new version of the row
   * @param now the time
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
   * Takes the version of the row that its holder stated in a message to this daemon.
   *
   * @param holder the holder
   * @param version the version of its latest write
   * @param now the time
   */
  public void holderVersionReceived(HostId holder, long version, ClockReading now) {
    boolean isHolder = row.filter(r -> r.holder().equals(holder)).isPresent();
    if (isHolder && version > rowVersion) {
      rowVersion = version;
      rowChangeSeenAt = now;
    }
  }

  /** Takes that the holder did not confirm its role; the row is read soon. */
  public void holderUnconfirmed() {
    readRequested = true;
  }

  /** Takes that a call had no answer or was turned away; a write may have been done. */
  public void callFailed() {
    callInFlight = false;
    storeFailing = true;
  }

  /** Takes that a write met another version; the row has to be read again. */
  public void writeConflicted() {
    callInFlight = false;
    storeFailing = false;
    rowKnown = false;
    pendingWrite = Optional.empty();
    confirmedAt = Optional.empty();
  }

  /** Gives the role up for good; the row is to be cleared by the caller. */
  public void resign() {
    resigned = true;
    confirmedAt = Optional.empty();
  }
}
