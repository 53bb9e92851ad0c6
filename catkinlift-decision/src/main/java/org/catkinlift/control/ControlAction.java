package org.catkinlift.control;

import org.catkinlift.events.DecisionEvent;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.plans.OperatorReply;

/** An operation that a control decision requests from the front end. */
public sealed interface ControlAction {

  /**
   * Sends a message to another daemon; it may be lost.
   *
   * @param to the receiver
   * @param message the message
   */
  record SendToPeer(HostId to, PeerMessage message) implements ControlAction {}

  /**
   * Calls the platform; a {@link ControlEvent.PlatformReplied} follows.
   *
   * @param call the number that identifies the call in its reply; unique among the calls of one
   *     daemon
   * @param request the request
   */
  record CallPlatform(long call, PlatformRequest request) implements ControlAction {}

  /**
   * Calls an upstream; a {@link ControlEvent.UpstreamReplied} follows.
   *
   * @param call the number that identifies the call in its reply; unique among the calls of one
   *     daemon
   * @param upstream the upstream
   * @param request the request
   */
  record CallUpstream(long call, UpstreamId upstream, UpstreamRequest request)
      implements ControlAction {}

  /** The routing snapshot must be rebuilt because one of its inputs has changed. */
  record RoutingChanged() implements ControlAction {}

  /**
   * Answers an operator.
   *
   * @param call the number of the request
   * @param reply the reply
   */
  record ReplyToOperator(long call, OperatorReply reply) implements ControlAction {}

  /**
   * Writes a log line.
   *
   * @param event the event
   */
  record Log(DecisionEvent event) implements ControlAction {}

  /** All roles and leases are handed over; the process may exit once its running requests end. */
  record HandoverCompleted() implements ControlAction {}
}
