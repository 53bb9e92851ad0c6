package org.catkinlift.events;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Predicate;
import java.util.stream.StreamSupport;

/**
 * Keeps the recent placement and ownership decisions of one daemon, so that operators can ask why a
 * key is where it is. Other events are ignored. Confined to the control thread.
 */
public final class DecisionLog {
  /**
   * The number of decisions kept: over twice the slots of a cell at the design size (1,765), so
   * that the loss of an upstream does not push out all that was decided before.
   */
  public static final int MAX_DECISIONS = 4_096;

  /** The age after which a decision is dropped. */
  public static final Duration MAX_AGE = Duration.ofHours(1);

  /**
   * A decision and when it was made.
   *
   * @param event the decision
   * @param atNanos the monotonic time of this daemon, in nanoseconds
   */
  public record Decision(DecisionEvent event, long atNanos) {}

  private final ArrayDeque<Decision> decisions = new ArrayDeque<>();

  /** Creates an empty log. */
  public DecisionLog() {}

  /**
   * Takes an event that a control part emitted.
   *
   * @param event the event; ignored if it is no placement or ownership decision
   * @param nowNanos the time, in nanoseconds; never earlier than that of the event before
   */
  public void record(DecisionEvent event, long nowNanos) {
    if (!event.code().isOwnershipDecision()) {
      return;
    }
    removeExpired(nowNanos);
    if (decisions.size() == MAX_DECISIONS) {
      decisions.removeFirst();
    }
    decisions.addLast(new Decision(event, nowNanos));
  }

  private void removeExpired(long nowNanos) {
    while (!decisions.isEmpty() && nowNanos - decisions.getFirst().atNanos() > MAX_AGE.toNanos()) {
      decisions.removeFirst();
    }
  }

  /**
   * Returns the decisions that match, newest first.
   *
   * @param filter selects decisions
   * @param limit the greatest number of decisions to return
   * @param nowNanos the time, in nanoseconds
   * @return the decisions
   */
  public ImmutableList<Decision> newestFirst(
      Predicate<DecisionEvent> filter, int limit, long nowNanos) {
    removeExpired(nowNanos);
    Iterable<Decision> descending = decisions::descendingIterator;
    return StreamSupport.stream(descending.spliterator(), false)
        .filter(d -> filter.test(d.event()))
        .limit(limit)
        .collect(toImmutableList());
  }
}
