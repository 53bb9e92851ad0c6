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
final class SimulatedCallLanes<C> {
  private static final int MAX_CONCURRENT_GRANTS = 2;
  private static final int MAX_CONCURRENT_RELEASES = 4;

  private final Map<Target, Lane<C>> lanes = new HashMap<>();

  /** Sends a call whose turn has come. */
  interface Sender<C> {
    void send(C call, Consumer<CallEnd> callback);
  }

  /**
   * The end of a call.
   *
   * @param result the result
   * @param isAnswered whether a response arrived
   */
  record CallEnd(GrantResult result, boolean isAnswered) {}

  /** The calls of one kind to one upstream. */
  record Target(NetworkAddress address, boolean isGrant) {
    private int maxConcurrent() {
      return isGrant ? MAX_CONCURRENT_GRANTS : MAX_CONCURRENT_RELEASES;
    }
  }

  private record WaitingCall<C>(C call, Consumer<GrantResult> callback) {}

  private static final class Lane<C> {
    private final Deque<WaitingCall<C>> waiting = new ArrayDeque<>();
    private int running;
  }

  private final Sender<C> sender;

  SimulatedCallLanes(Sender<C> sender) {
    this.sender = sender;
  }

  /** Sends a call, or queues it while too many run at its upstream. */
  void call(Target target, C call, Consumer<GrantResult> callback) {
    Lane<C> lane = lanes.computeIfAbsent(target, t -> new Lane<>());
    var waiting = new WaitingCall<>(call, callback);
    if (lane.running < target.maxConcurrent()) {
      start(lane, waiting);
    } else {
      lane.waiting.add(waiting);
    }
  }

  private void start(Lane<C> lane, WaitingCall<C> next) {
    lane.running++;
    sender.send(next.call(), end -> ended(lane, next, end));
  }

  private void ended(Lane<C> lane, WaitingCall<C> call, CallEnd end) {
    call.callback().accept(end.result());
    lane.running--;
    if (!end.isAnswered()) {
      List<WaitingCall<C>> abandoned = new ArrayList<>(lane.waiting);
      lane.waiting.clear();
      abandoned.forEach(w -> w.callback().accept(new GrantResult.NotSent("not connected")));
    }
    WaitingCall<C> next = lane.waiting.poll();
    if (next != null) {
      start(lane, next);
    }
  }
}
