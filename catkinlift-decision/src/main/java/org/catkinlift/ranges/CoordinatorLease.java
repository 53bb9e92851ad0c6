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
  private static final Duration MARGIN = Duration.ofMillis(200);

  /** A weak host leaves a free role to stronger ones for so long. */
  private static final Duration DEFERENCE = Duration.ofMillis(700);

  private static final Duration RENEW_INTERVAL = Duration.ofMillis(600);

  /** Without news of the holder from peers for this long, the row is read. */
  private static final Duration NEWS_AGE = Duration.ofMillis(1_200);

  private static final Duration READ_INTERVAL = Duration.ofMillis(400);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);

  private final HostId self;
  private final NetworkAddress peerAddress;
  private final long incarnation;

  private long sequence;
  private long rowVersion;
  private long claimVersion;
  private Optional<LeaseRow> row = Optional.empty();
  private boolean known;
  private Moment rowSeen;
  private Optional<Moment> confirmed = Optional.empty();
  private Optional<PendingWrite> pending = Optional.empty();
  private boolean callRunning;
  private Moment lastCall;
  private boolean failing;
  private boolean mustReadSoon;
  private boolean resigned;
  private boolean strongerKnown;

  private record PendingWrite(LeaseRow row, Moment sent, boolean isClaim) {}

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
  public CoordinatorLease(HostId self, NetworkAddress peerAddress, long incarnation, Moment now) {
    this.self = self;
    this.peerAddress = peerAddress;
    this.incarnation = incarnation;
    this.rowSeen = now;
    this.lastCall = now;
  }

  /**
   * Tells whether this daemon has the role at a moment.
   *
   * @param now the time
   * @return true if no other daemon can have it
   */
  public boolean isHeld(Moment now) {
    return !resigned && confirmed.filter(c -> now.isWithin(c, TERM.minus(MARGIN))).isPresent();
  }

  /**
   * Returns how long ago the last call was made by which the store confirmed the role.
   *
   * @param now the time
   * @return the time, or empty without the role
   */
  public Optional<Duration> confirmedAgo(Moment now) {
    return confirmed.map(now::since);
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
    return failing;
  }

  /**
   * Decides what to do now.
   *
   * @param now the time
   * @return the step; its outcome must be reported
   */
  public Step next(Moment now) {
    if (callRunning || resigned) {
      return new Step.Idle();
    }
    Duration sinceCall = now.since(lastCall);
    if (pending.isPresent() || !known) {
      return sinceCall.compareTo(RETRY_INTERVAL) >= 0 || !failing ? read(now) : new Step.Idle();
    }
    if (confirmed.isPresent() && isOwnRow()) {
      Duration interval = failing ? RETRY_INTERVAL : RENEW_INTERVAL;
      return sinceCall.compareTo(interval) >= 0 ? write(now) : new Step.Idle();
    }
    if (isOwnRow() || isOwnEarlierLife() || isFree(now)) {
      return write(now);
    }
    boolean newsIsOld = now.since(rowSeen).compareTo(NEWS_AGE) >= 0;
    return (newsIsOld || mustReadSoon) && sinceCall.compareTo(READ_INTERVAL) >= 0
        ? read(now)
        : new Step.Idle();
  }

  /** Tells whether nobody can have the role, and no stronger host is about to take it. */
  private boolean isFree(Moment now) {
    Duration term = row.isEmpty() ? Duration.ZERO : TERM;
    Duration deference = strongerKnown ? DEFERENCE : Duration.ZERO;
    return now.since(rowSeen).compareTo(term.plus(deference)) >= 0;
  }

  /**
   * Notes whether a stronger host takes part; this one then leaves it the first chance of taking a
   * free role.
   *
   * @param known whether there is one
   */
  public void strongerHostKnown(boolean known) {
    strongerKnown = known;
  }

  /**
   * Gives the role up so that a stronger host can take it; this one goes on taking part.
   *
   * @return the version of the row that the caller is to clear; empty if a call is on its way
   */
  public OptionalLong stepDown() {
    if (callRunning || !isOwnRow()) {
      return OptionalLong.empty();
    }
    long version = rowVersion;
    known = false;
    confirmed = Optional.empty();
    pending = Optional.empty();
    return OptionalLong.of(version);
  }

  private boolean isOwnRow() {
    return row.filter(r -> r.holder().equals(self) && r.incarnation() == incarnation).isPresent();
  }

  /** A host runs one daemon at a time, so an earlier life at the same place has ended. */
  private boolean isOwnEarlierLife() {
    return row.filter(r -> r.holder().equals(self) && r.peerAddress().equals(peerAddress))
        .isPresent();
  }

  private Step read(Moment now) {
    callRunning = true;
    mustReadSoon = false;
    lastCall = now;
    return new Step.Read();
  }

  private Step write(Moment now) {
    callRunning = true;
    lastCall = now;
    var next = new LeaseRow(self, incarnation, ++sequence, peerAddress);
    boolean isClaim = confirmed.isEmpty();
    pending = Optional.of(new PendingWrite(next, now, isClaim));
    return new Step.Write(next, rowVersion, isClaim);
  }

  /**
   * Takes the row as the store has it.
   *
   * @param content the row, or empty if it is missing or names nobody
   * @param version its version; 0 if it is missing
   * @param now the time
   */
  public void rowRead(Optional<LeaseRow> content, long version, Moment now) {
    callRunning = false;
    failing = false;
    if (!known || version != rowVersion) {
      rowSeen = now;
    }
    known = true;
    row = content;
    rowVersion = version;
    pending.filter(p -> content.filter(p.row()::equals).isPresent()).ifPresent(this::confirm);
    pending = Optional.empty();
    if (!isOwnRow()) {
      confirmed = Optional.empty();
    }
  }

  private void confirm(PendingWrite write) {
    if (write.isClaim()) {
      claimVersion = rowVersion;
    }
    confirmed = Optional.of(write.sent());
  }

  /**
   * Takes the success of a write.
   *
   * @param version the new version of the row
   * @param now the time
   */
  public void rowWritten(long version, Moment now) {
    callRunning = false;
    failing = false;
    rowVersion = version;
    rowSeen = now;
    pending.ifPresent(
        p -> {
          row = Optional.of(p.row());
          confirm(p);
        });
    pending = Optional.empty();
  }

  /**
   * Takes the version of the row that its holder stated in a message to this daemon.
   *
   * @param holder the holder
   * @param version the version of its latest write
   * @param now the time
   */
  public void holderHeard(HostId holder, long version, Moment now) {
    boolean isHolder = row.filter(r -> r.holder().equals(holder)).isPresent();
    if (isHolder && version > rowVersion) {
      rowVersion = version;
      rowSeen = now;
    }
  }

  /** Takes that the holder did not confirm its role; the row is read soon. */
  public void holderDoubtful() {
    mustReadSoon = true;
  }

  /** Takes that a call had no answer or was turned away; a write may have been done. */
  public void callFailed() {
    callRunning = false;
    failing = true;
  }

  /** Takes that a write met another version; the row has to be read again. */
  public void writeRefused() {
    callRunning = false;
    failing = false;
    known = false;
    pending = Optional.empty();
    confirmed = Optional.empty();
  }

  /** Gives the role up for good; the row is to be cleared by the caller. */
  public void resign() {
    resigned = true;
    confirmed = Optional.empty();
  }
}
