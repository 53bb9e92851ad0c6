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

/** The decisions of one entry daemon: routing, retries and hedging. */
final class EntryDaemon implements RequestPath {
  /** One way between daemons; most relays cross availability zones. */
  private static final Duration RELAY_HOP = Duration.ofMillis(1);

  private final VirtualTimerService timers;
  private final RoutingSnapshot snapshot;
  private final ServiceKind kind;
  private final ImmutableMap<UpstreamId, UpstreamLink> links;
  private final LongSupplier attempts;
  private final SharedUpstreamChooser chooser;
  private final RequestRouter router;
  private final RetryBudget retryBudget;
  private final HedgingPolicy hedgeRule = new HedgingPolicy();

  EntryDaemon(
      TrafficWorld world,
      HostId self,
      ImmutableMap<UpstreamId, UpstreamLink> links,
      LongSupplier attempts,
      SplittableRandom random) {
    this.timers = world.timers();
    this.snapshot = world.snapshotOf(self);
    this.kind = snapshot.configuration().services().get(TrafficWorld.SERVICE).kind();
    this.links = links;
    this.attempts = attempts;
    this.chooser = new SharedUpstreamChooser(random);
    this.router = new RequestRouter(chooser);
    this.retryBudget = new RetryBudget(timers.nowNanos());
  }

  @Override
  public void submit(CallerRequest request, Consumer<CallerReply> reply) {
    hedgeRule.started();
    new Exchange(this, request, reply).start();
  }

  RouteDecision route(RequestDescription description, ImmutableSet<UpstreamId> excluded) {
    return router.route(snapshot, description, excluded, timers.nowNanos());
  }

  /** Sends an attempt to the dispatcher of an upstream and returns its number. */
  long send(Target target, CallerRequest request, Consumer<CallerReply> reply) {
    long attempt = attempts.getAsLong();
    UpstreamLink link = links.get(target.upstream());
    chooser.started(target.upstream(), timers.nowNanos());
    timers.after(
        target.hop(),
        () ->
            link.offer(
                attempt,
                request,
                target.slot(),
                answer -> timers.after(target.hop(), () -> reply.accept(answer))));
    return attempt;
  }

  void cancel(Target target, long attempt) {
    chooser.cancelled(target.upstream());
    timers.after(target.hop(), () -> links.get(target.upstream()).cancel(attempt));
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

  HedgingPolicy hedgeRule() {
    return hedgeRule;
  }

  /**
   * Where an attempt goes.
   *
   * @param upstream the upstream
   * @param slot the slot, or -1
   * @param epoch the epoch of the owner
   * @param hop the time to the dispatcher
   */
  record Target(UpstreamId upstream, int slot, Epoch epoch, Duration hop) {
    static Target here(RouteDecision.DispatchHere here) {
      return new Target(here.upstream(), here.slot(), here.epoch(), Duration.ZERO);
    }

    static Target relayed(RouteDecision.Relay relay) {
      return new Target(relay.upstream(), relay.slot(), relay.epoch(), RELAY_HOP);
    }
  }
}
