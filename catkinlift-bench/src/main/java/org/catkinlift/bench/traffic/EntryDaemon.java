package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.retries.HedgingPolicy;
import org.catkinlift.retries.RetryBudget;
import org.catkinlift.routing.RequestRouter;
import org.catkinlift.routing.RouteDecision;
import org.catkinlift.routing.RoutingSnapshot;
import org.catkinlift.routing.SharedUpstreamChooser;
import org.catkinlift.timer.VirtualTimerService;

/**
 * An entry daemon, which accepts requests from callers and decides on routing, retries and hedging.
 */
final class EntryDaemon implements RequestPath {
  /** One-way latency between daemons; most relays cross availability zones. */
  private static final Duration RELAY_HOP_LATENCY = Duration.ofMillis(1);

  private final VirtualTimerService timers;
  private final RoutingSnapshot snapshot;
  private final ServiceKind kind;
  private final ImmutableMap<UpstreamId, UpstreamLink> links;
  private final LongSupplier attemptNumbers;
  private final SharedUpstreamChooser chooser;
  private final RequestRouter router;
  private final RetryBudget retryBudget;
  private final HedgingPolicy hedgingPolicy = new HedgingPolicy();

  EntryDaemon(
      TrafficSimulation simulation,
      HostId self,
      ImmutableMap<UpstreamId, UpstreamLink> links,
      LongSupplier attemptNumbers,
      SplittableRandom random) {
    this.timers = simulation.timers();
    this.snapshot = simulation.snapshotOf(self);
    this.kind = snapshot.configuration().services().get(TrafficSimulation.SERVICE).kind();
    this.links = links;
    this.attemptNumbers = attemptNumbers;
    this.chooser = new SharedUpstreamChooser(random);
    this.router = new RequestRouter(chooser);
    this.retryBudget = new RetryBudget(timers.nowNanos());
  }

  @Override
  public void submit(CallerRequest request, Consumer<CallerReply> reply) {
    hedgingPolicy.started();
    new Exchange(this, request, reply).start();
  }

  RouteDecision route(RequestDescription description, ImmutableSet<UpstreamId> excluded) {
    return router.route(snapshot, description, excluded, timers.nowNanos());
  }

  /** Sends an attempt to the dispatcher of the target upstream and returns the attempt number. */
  long send(Target target, CallerRequest request, Consumer<CallerReply> reply) {
    long attempt = attemptNumbers.getAsLong();
    UpstreamLink link = links.get(target.upstream());
    chooser.started(target.upstream(), timers.nowNanos());
    timers.after(
        target.hopLatency(),
        () ->
            link.offer(
                attempt,
                request,
                target.slot(),
                answer -> timers.after(target.hopLatency(), () -> reply.accept(answer))));
    return attempt;
  }

  void cancel(Target target, long attempt) {
    chooser.cancelled(target.upstream());
    timers.after(target.hopLatency(), () -> links.get(target.upstream()).cancel(attempt));
  }

  VirtualTimerService timers() {
    return timers;
  }

  ServiceKind kind() {
    return kind;
  }

  SharedUpstreamChooser chooser() {
    return chooser;
  }

  RetryBudget retryBudget() {
    return retryBudget;
  }

  HedgingPolicy hedgingPolicy() {
    return hedgingPolicy;
  }

  /**
   * The destination of an attempt.
   *
   * @param upstream the upstream
   * @param slot the slot of the key, or -1 if there is none
   * @param epoch the epoch of the slot owner
   * @param hopLatency the one-way latency to the dispatcher
   */
  record Target(UpstreamId upstream, int slot, Epoch epoch, Duration hopLatency) {
    static Target local(RouteDecision.DispatchHere here) {
      return new Target(here.upstream(), here.slot(), here.epoch(), Duration.ZERO);
    }

    static Target relayed(RouteDecision.Relay relay) {
      return new Target(relay.upstream(), relay.slot(), relay.epoch(), RELAY_HOP_LATENCY);
    }
  }
}
