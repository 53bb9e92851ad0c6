package org.catkinlift.retries;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.catkinlift.model.Outcome;

/** Ensures that exactly one attempt of a hedged request answers the caller. */
public final class HedgeRace {
  private final Set<Long> running = new LinkedHashSet<>();
  private Optional<Outcome> failure = Optional.empty();
  private boolean decided;

  /** The effect of an ended attempt on the request. */
  public sealed interface Step {

    /**
     * The answer of this attempt goes to the caller; the others are cancelled.
     *
     * @param attempt the winner
     * @param cancel the losers
     */
    record Deliver(long attempt, ImmutableList<Long> cancel) implements Step {}

    /** Another attempt is still running. */
    record Continue() implements Step {}

    /**
     * All attempts have failed.
     *
     * @param outcome the combined outcome
     */
    record Fail(Outcome outcome) implements Step {}

    /** The request has already ended; the result of this attempt is dropped. */
    record Drop() implements Step {}
  }

  /**
   * Creates a race that consists of the first attempt.
   *
   * @param first the attempt
   */
  public HedgeRace(long first) {
    running.add(first);
  }

  /**
   * Adds the second attempt.
   *
   * @param attempt the attempt
   */
  public void hedged(long attempt) {
    running.add(attempt);
  }

  /**
   * Records the start of an answer.
   *
   * @param attempt the attempt that is answered
   * @return {@link Step.Deliver} for the first answer, else {@link Step.Drop}
   */
  public Step answered(long attempt) {
    if (decided || !running.remove(attempt)) {
      return new Step.Drop();
    }
    decided = true;
    var losers = ImmutableList.copyOf(running);
    running.clear();
    return new Step.Deliver(attempt, losers);
  }

  /**
   * Records the failure of an attempt.
   *
   * @param attempt the attempt
   * @param outcome its outcome
   * @return {@link Step.Fail} after the last attempt, {@link Step.Drop} once an answer was
   *     delivered, else {@link Step.Continue}
   */
  public Step failed(long attempt, Outcome outcome) {
    if (decided || !running.remove(attempt)) {
      return new Step.Drop();
    }
    failure = Optional.of(failure.map(f -> RetryPolicy.combine(f, outcome)).orElse(outcome));
    if (!running.isEmpty()) {
      return new Step.Continue();
    }
    decided = true;
    return new Step.Fail(failure.get());
  }

  /**
   * Returns whether the request has ended.
   *
   * @return true after {@link Step.Deliver} or {@link Step.Fail}
   */
  public boolean isDecided() {
    return decided;
  }

  /**
   * Returns the attempts that have not ended.
   *
   * @return the attempts
   */
  public ImmutableSet<Long> running() {
    return ImmutableSet.copyOf(running);
  }
}
