package org.catkinlift.control;

import com.google.common.collect.ImmutableList;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.plans.OperatorRequest;

/** Something that happened and that control decisions depend on. */
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
   * @param reply the answer
   */
  record PlatformReplied(long call, PlatformRequest.Reply reply) implements ControlEvent {}

  /**
   * A control request to an upstream ended.
   *
   * @param call the number given with {@link ControlAction.CallUpstream}
   * @param upstream the upstream
   * @param reply the answer
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
   * An operator asked for something.
   *
   * @param call the number that the reply repeats
   * @param request the request
   */
  record OperatorRequested(long call, OperatorRequest request) implements ControlEvent {}

  /** The process was asked to stop. */
  record StopRequested() implements ControlEvent {}
}
