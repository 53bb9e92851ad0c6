package org.catkinlift.events;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Predicate;
import java.util.stream.StreamSupport;

/**
 * A bounded in-memory log of the recent ownership and placement decisions of one daemon. Explain
 * requests use it to show why a key has its current owner. Other events are ignored. Confined to
 * the control thread.
 */
public final class DecisionLog {
  /**
   * The maximum number of decisions: over twice the number of slots of a cell at the design size
   * (1,765), so that the loss of an upstream does not evict all earlier decisions.
   */
  public static final int MAX_DECISIONS = 4_096;

  /** The age after which a decision is removed. */
  public static final Duration MAX_AGE = Duration.ofHours(1);

  /**
   * A decision and the time when it was made.
   *
   * @param event the decision
   * @param atNanos the monotonic time of this daemon, in nanoseconds
   */
  public record Decision(DecisionEvent event, long atNanos) {}

  private final ArrayDeque<Decision> decisions = new ArrayDeque<>();

  /** Creates an empty log. */
  public DecisionLog() {}

  /**
   * Records an event if it is an ownership or placement decision.
   *
   * @param event the event
   * @param nowNanos the time, in nanoseconds; not earlier than that of the previous event
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
   * Returns the matching decisions, newest first.
   *
   * @param filter selects decisions
   * @param limit the maximum number of decisions to return
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
