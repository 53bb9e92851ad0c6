package org.catkinlift.ranges;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.catkinlift.model.NetworkAddress;

/**
 * Bounds the concurrent calls of one daemon process to each upstream, as the HTTP client of the
 * gateway does. The calls in excess wait, also while the daemon is without the role. A call without
 * an answer ends those that wait behind it as not sent.
 */
final class SimulatedCallLanes {
  private static final int MAX_CONCURRENT_GRANTS = 2;
  private static final int MAX_CONCURRENT_RELEASES = 4;

  private final Map<Target, Lane> lanes = new HashMap<>();

  /** Sends a call whose turn has come. */
  interface Sender {
    void send(SimulatedNetwork.Call call, Consumer<CallEnd> callback);
  }

  /**
   * The end of a call.
   *
   * @param result the result
   * @param isAnswered whether a response arrived
   */
  record CallEnd(GrantResult result, boolean isAnswered) {}

  private record Target(NetworkAddress address, boolean isGrant) {
    static Target of(SimulatedNetwork.Call call) {
      return new Target(call.to().address(), call.sent().call() instanceof RangeAction.Grant);
    }

    int maxConcurrent() {
      return isGrant ? MAX_CONCURRENT_GRANTS : MAX_CONCURRENT_RELEASES;
    }
  }

  private record WaitingCall(SimulatedNetwork.Call call, Consumer<GrantResult> callback) {}

  private static final class Lane {
    private final Deque<WaitingCall> waiting = new ArrayDeque<>();
    private int running;
  }

  private final Sender sender;

  SimulatedCallLanes(Sender sender) {
    this.sender = sender;
  }

  /** Sends a call, or queues it while too many run at its upstream. */
  void call(SimulatedNetwork.Call call, Consumer<GrantResult> callback) {
    Target target = Target.of(call);
    Lane lane = lanes.computeIfAbsent(target, t -> new Lane());
    var waiting = new WaitingCall(call, callback);
    if (lane.running < target.maxConcurrent()) {
      start(lane, waiting);
    } else {
      lane.waiting.add(waiting);
    }
  }

  private void start(Lane lane, WaitingCall next) {
    lane.running++;
    sender.send(next.call(), end -> ended(lane, next, end));
  }

  private void ended(Lane lane, WaitingCall call, CallEnd end) {
    call.callback().accept(end.result());
    lane.running--;
    if (!end.isAnswered()) {
      List<WaitingCall> abandoned = new ArrayList<>(lane.waiting);
      lane.waiting.clear();
      abandoned.forEach(w -> w.callback().accept(new GrantResult.NotSent("not connected")));
    }
    WaitingCall next = lane.waiting.poll();
    if (next != null) {
      start(lane, next);
    }
  }
}
