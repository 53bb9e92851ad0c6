package org.catkinlift.control;

import org.catkinlift.events.DecisionEvent;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.plans.OperatorReply;

/** Something that a control decision asks the front end to do. */
public sealed interface ControlAction {

  /**
   * Sends a message to another daemon; it may get lost.
   *
   * @param to the receiver
   * @param message the message
   */
  record SendToPeer(HostId to, PeerMessage message) implements ControlAction {}

  /**
   * Calls the platform; a {@link ControlEvent.PlatformReplied} follows.
   *
   * @param call a number that the reply repeats; unique among the calls of one daemon
   * @param request the request
   */
  record CallPlatform(long call, PlatformRequest request) implements ControlAction {}

  /**
   * Calls an upstream; a {@link ControlEvent.UpstreamReplied} follows.
   *
   * @param call a number that the reply repeats; unique among the calls of one daemon
   * @param upstream the upstream
   * @param request the request
   */
  record CallUpstream(long call, UpstreamId upstream, UpstreamRequest request)
      implements ControlAction {}

  /** The routing snapshot must be built anew because something it depends on has changed. */
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

  /** All duties are handed over; the process may end once its running requests are done. */
  record HandoverCompleted() implements ControlAction {}
}
