package org.catkinlift.retries;

import java.time.Duration;
import org.catkinlift.model.Outcome;

/** The decision about a request after an attempt. */
public sealed interface RetryDecision {

  /**
   * The request is routed and sent again.
   *
   * @param delay how long to wait before the next attempt
   */
  record Retry(Duration delay) implements RetryDecision {}

  /**
   * The request ends.
   *
   * @param outcome the outcome reported to the caller
   */
  record GiveUp(Outcome outcome) implements RetryDecision {}

  /**
   * The request is routed again once a routing snapshot shows the new dispatcher or owner.
   *
   * <p>No upstream has received the attempt, so this takes nothing from the retry budget.
   *
   * @param limit how long the request may wait for the new snapshot
   */
  record Reroute(Duration limit) implements RetryDecision {}
}
