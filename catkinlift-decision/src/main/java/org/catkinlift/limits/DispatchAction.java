package org.catkinlift.limits;

import java.time.Duration;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.model.Outcome;

/** Tells the owner of a dispatcher what to do. */
public sealed interface DispatchAction {

  /**
   * The request is sent to the upstream now.
   *
   * @param attempt the attempt
   * @param startBefore the time after which the upstream must not start it
   * @param deadline the time that remains for an answer
   */
  record Send(long attempt, Duration startBefore, Duration deadline) implements DispatchAction {}

  /**
   * The request is refused; nothing was sent.
   *
   * @param attempt the attempt
   * @param outcome the reason
   */
  record Refuse(long attempt, Outcome.NotRun outcome) implements DispatchAction {}

  /**
   * The upstream is asked to stop executing the request.
   *
   * <p>What it replies is reported with {@link UpstreamDispatcher#completed}. Until then, or until
   * the request's deadline, the request counts as running.
   *
   * @param attempt the attempt
   */
  record CancelAtUpstream(long attempt) implements DispatchAction {}

  /**
   * A decision is logged.
   *
   * @param event what was decided
   */
  record Report(DecisionEvent event) implements DispatchAction {}
}
