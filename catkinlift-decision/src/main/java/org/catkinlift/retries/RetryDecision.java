package org.catkinlift.retries;

import java.time.Duration;
import org.catkinlift.model.Outcome;

/** Says what follows an attempt. */
public sealed interface RetryDecision {

  /**
   * The request is routed and sent again.
   *
   * @param delay how long to wait before the next attempt
   */
  record Retry(Duration delay) implements RetryDecision {}

  /**
   * The request ends and its caller is told.
   *
   * @param outcome what the caller is told
   */
  record GiveUp(Outcome outcome) implements RetryDecision {}

  /**
   * The request is routed again once a routing snapshot shows the new dispatcher or owner.
   *
   * <p>Nothing has reached an upstream, so this costs no retry budget.
   *
   * @param limit how long the request may wait for the new snapshot
   */
  record Reroute(Duration limit) implements RetryDecision {}
}
