package org.catkinlift.bench.ownership;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.limits.AttemptResult;
import org.catkinlift.limits.DispatchAction;
import org.catkinlift.limits.UpstreamDispatcher;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.RequestId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/** Carries out the decisions of one dispatcher with requests of random length. */
final class FakeWorker {
  private static final Duration DEADLINE = Duration.ofSeconds(10);
  private static final Duration ASKED_AFTER = Duration.ofMillis(510);
  private static final Duration ASKED_AGAIN_AFTER = Duration.ofMillis(100);
  private static final int LONGEST_MILLIS = 400;

  private final HandOverWorld world;
  private final HostId self;
  private final UpstreamId upstream;
  private final UpstreamDispatcher dispatcher;
  private boolean holds;
  private long attempts;

  FakeWorker(HandOverWorld world, HostId self, UpstreamId upstream) {
    this.world = world;
    this.self = self;
    this.upstream = upstream;
    this.dispatcher = new UpstreamDispatcher(upstream, self, world.limit(), world.nowNanos());
  }

  UpstreamId upstream() {
    return upstream;
  }

  UpstreamLoad load() {
    return dispatcher.load(world.nowNanos());
  }

  void granted(DispatchLease lease) {
    apply(dispatcher.leaseGranted(lease, world.nowNanos()));
    if (!holds && world.reports()) {
      world.after(ASKED_AFTER, this::ask);
    }
    holds = true;
  }

  private void ask() {
    long now = world.nowNanos();
    apply(dispatcher.inheritedRequestsReported(world.runningOfOthers(upstream, self), now, now));
    if (dispatcher.mayHaveInheritedRequests(now)) {
      world.after(ASKED_AGAIN_AFTER, this::ask);
    }
  }

  /** Takes the end of the lease; by plan if its epoch is known. */
  void lost(Epoch givenUp) {
    if (holds) {
      world.stopped(upstream, self);
    }
    holds = false;
    long now = world.nowNanos();
    apply(givenUp == null ? dispatcher.leaseLost(now) : dispatcher.leaseReleased(givenUp, now));
  }

  void step(int requests) {
    long now = world.nowNanos();
    apply(dispatcher.tick(now));
    UpstreamLoad load = dispatcher.load(now);
    for (int i = load.inFlight() + load.queued(); holds && i < requests; i++) {
      RequestDescription request =
          RequestDescription.builder()
              .id(RequestId.of("request"))
              .service(ServiceName.of("orders"))
              .key("key")
              .deadline(DEADLINE)
              .build();
      apply(dispatcher.offer(++attempts, request, 1, Epoch.of(1, 1), now));
    }
  }

  private void apply(ImmutableList<DispatchAction> actions) {
    for (DispatchAction action : actions) {
      if (action instanceof DispatchAction.Send send) {
        send(send);
      }
    }
  }

  private void send(DispatchAction.Send send) {
    world.sent(upstream, self);
    Duration length = Duration.ofMillis(world.random().nextInt(1, LONGEST_MILLIS));
    world.after(length, () -> ended(send.attempt(), length));
  }

  private void ended(long attempt, Duration length) {
    world.ended(upstream, self);
    apply(
        dispatcher.completed(
            attempt, new AttemptResult.Answered(length, "first"), world.nowNanos()));
  }
}
