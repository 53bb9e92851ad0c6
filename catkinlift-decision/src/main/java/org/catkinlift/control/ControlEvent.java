package org.catkinlift.control;

import com.google.common.collect.ImmutableList;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.plans.OperatorRequest;

/** An input of control decisions. */
public sealed interface ControlEvent {

  /** The control thread's periodic tick, every {@link ControlComponent#TICK_INTERVAL}. */
  record Tick() implements ControlEvent {}

  /**
   * A message from another daemon arrived.
   *
   * @param from the sender
   * @param message the message
   */
  record PeerMessageReceived(HostId from, PeerMessage message) implements ControlEvent {}

  /**
   * A call to the platform ended.
   *
   * @param call the number given with {@link ControlAction.CallPlatform}
   * @param reply the reply
   */
  record PlatformReplied(long call, PlatformRequest.Reply reply) implements ControlEvent {}

  /**
   * A control request to an upstream ended.
   *
   * @param call the number given with {@link ControlAction.CallUpstream}
   * @param upstream the upstream
   * @param reply the reply
   */
  record UpstreamReplied(long call, UpstreamId upstream, UpstreamRequest.Reply reply)
      implements ControlEvent {}

  /**
   * The dispatchers of this daemon reported the load of their upstreams.
   *
   * @param loads the loads
   */
  record LoadReported(ImmutableList<PeerMessage.UpstreamLoad> loads) implements ControlEvent {}

  /**
   * An operator sent a request.
   *
   * @param call the number that identifies the request in the reply
   * @param request the request
   */
  record OperatorRequested(long call, OperatorRequest request) implements ControlEvent {}

  /** The process was asked to stop. */
  record StopRequested() implements ControlEvent {}
}
