package org.catkinlift.routing;

import java.time.Duration;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.UpstreamId;

/** The result of routing a request. */
public sealed interface RouteDecision {

  /**
   * This daemon dispatches the request.
   *
   * @param upstream the chosen upstream
   * @param slot the slot of the key, or -1 for services that are not partitioned by key
   * @param epoch the epoch of the owner; {@link Epoch#NONE} without a key
   */
  record DispatchHere(UpstreamId upstream, int slot, Epoch epoch) implements RouteDecision {}

  /**
   * Another daemon dispatches the request.
   *
   * @param host the dispatcher
   * @param upstream the chosen upstream
   * @param slot the slot of the key, or -1 for services that are not partitioned by key
   * @param epoch the epoch of the owner; {@link Epoch#NONE} without a key
   */
  record Relay(HostId host, UpstreamId upstream, int slot, Epoch epoch) implements RouteDecision {}

  /**
   * The key has no owner or no dispatcher at present; the request is routed again with a newer
   * snapshot.
   *
   * @param limit how long the request may wait before it is refused
   */
  record Wait(Duration limit) implements RouteDecision {}

  /**
   * The request is refused and did not run.
   *
   * @param outcome the reason
   */
  record Refuse(Outcome.NotRun outcome) implements RouteDecision {}
}
