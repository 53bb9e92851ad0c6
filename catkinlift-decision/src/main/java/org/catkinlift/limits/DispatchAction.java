package org.catkinlift.limits;

import java.time.Duration;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.model.Outcome;

/** An action that the owner of an {@link UpstreamDispatcher} must carry out. */
public sealed interface DispatchAction {

  /**
   * Sends the request to the upstream.
   *
   * @param attempt the attempt
   * @param startBefore the time within which the upstream may start the request
   * @param deadline the time that remains for a response
   */
  record Send(long attempt, Duration startBefore, Duration deadline) implements DispatchAction {}

  /**
   * Refuses the request, of which nothing was sent.
   *
   * @param attempt the attempt
   * @param outcome the reason
   */
  record Refuse(long attempt, Outcome.NotRun outcome) implements DispatchAction {}

  /**
   * Asks the upstream to stop executing the request.
   *
   * <p>The upstream's reply is reported with {@link UpstreamDispatcher#completed}. Until then, or
   * until the request's deadline, the request counts as in flight.
   *
   * @param attempt the attempt
   */
  record CancelAtUpstream(long attempt) implements DispatchAction {}

  /**
   * Logs a decision.
   *
   * @param event the decision
   */
  record Report(DecisionEvent event) implements DispatchAction {}
}
