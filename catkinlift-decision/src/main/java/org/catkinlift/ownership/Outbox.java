package org.catkinlift.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.HostId;
import org.catkinlift.model.UpstreamId;

/** Collects the actions that result from one event, in order. */
final class Outbox {
  private final CallNumbers calls;
  private final ImmutableList.Builder<ControlAction> actions = ImmutableList.builder();
  private boolean changed;

  Outbox(CallNumbers calls) {
    this.calls = calls;
  }

  void send(HostId to, PeerMessage message) {
    actions.add(new ControlAction.SendToPeer(to, message));
  }

  long callPlatform(PlatformRequest request) {
    long call = calls.next();
    actions.add(new ControlAction.CallPlatform(call, request));
    return call;
  }

  long callUpstream(UpstreamId upstream, UpstreamRequest request) {
    long call = calls.next();
    actions.add(new ControlAction.CallUpstream(call, upstream, request));
    return call;
  }

  void log(EventCode code, ImmutableMap<String, String> fields) {
    actions.add(new ControlAction.Log(new DecisionEvent(code, fields)));
  }

  void log(EventCode code, String name1, Object value1, String name2, Object value2) {
    actions.add(new ControlAction.Log(DecisionEvent.of(code, name1, value1, name2, value2)));
  }

  void handoverCompleted() {
    actions.add(new ControlAction.HandoverCompleted());
  }

  /** Records that a value in the version store has changed and must be announced to peers. */
  void markChanged() {
    changed = true;
  }

  boolean isChanged() {
    return changed;
  }

  void routingChanged() {
    actions.add(new ControlAction.RoutingChanged());
  }

  ImmutableList<ControlAction> actions() {
    return actions.build();
  }
}
