package org.catkinlift.daemon.control;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.catkinlift.configuration.ConfigurationAge;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlComponent;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.DispatchLeaseSnapshot;
import org.catkinlift.control.MembershipView;
import org.catkinlift.control.OwnershipView;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.control.VersionStore;
import org.catkinlift.daemon.RoutingStateHolder;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.DecisionLog;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.plans.OperatorReply;
import org.catkinlift.plans.OperatorRequest;
import org.catkinlift.timer.GuardedTask;
import org.catkinlift.timer.TimerService;

/**
 * Owns the control state of the daemon: passes events to the control components on a single thread
 * and executes the actions that they return.
 */
public final class ControlLoop {
  /** Further events are dropped; senders repeat the essential ones. */
  private static final int MAX_PENDING_EVENTS = 10_000;

  private final ScheduledThreadPoolExecutor executor;
  private final TimerService timers;
  private final AtomicInteger pendingEvents = new AtomicInteger();
  private final ImmutableList<ControlComponent> components;
  private final VersionStore store;
  private final MembershipView membership;
  private final OwnershipView ownership;
  private final CallNumbers calls;
  private final DecisionLog decisionLog;
  private final ConfigurationAge configurationAge;
  private final RoutingStateHolder routingState;
  private final ControlPorts ports;
  private final Consumer<DispatchLeaseSnapshot> leaseListener;
  private final Map<Long, Promise<OperatorReply>> pendingOperatorRequests = new HashMap<>();
  private final Promise<Void> handoverCompleted = Promise.promise();
  private boolean routingChanged;

  private ControlLoop(
      ControlComponents components,
      RoutingStateHolder routingState,
      ControlPorts ports,
      Consumer<DispatchLeaseSnapshot> leaseListener) {
    this.components = components.ordered();
    this.store = components.store();
    this.membership = components.membership();
    this.ownership = components.ownership();
    this.calls = components.calls();
    this.decisionLog = components.decisions();
    this.configurationAge = components.configurationAge();
    this.routingState = routingState;
    this.ports = ports;
    this.leaseListener = leaseListener;
    this.executor =
        new ScheduledThreadPoolExecutor(
            1, task -> new Thread(task, "control-" + components.membership().self().id()));
    this.timers = new ExecutorTimerService(executor, this::taskFailed);
  }

  /**
   * Starts the control thread.
   *
   * @param components the control components
   * @param routingState publishes the routing state
   * @param ports executes actions
   * @param leaseListener receives the dispatch leases that this daemon holds and those that were
   *     revoked; called on the control thread with each tick
   * @return the running loop
   */
  public static ControlLoop start(
      ControlComponents components,
      RoutingStateHolder routingState,
      ControlPorts ports,
      Consumer<DispatchLeaseSnapshot> leaseListener) {
    var loop = new ControlLoop(components, routingState, ports, leaseListener);
    var unused = loop.timers.every(ControlComponent.TICK_INTERVAL, loop::tick);
    return loop;
  }

  /**
   * Queues an event for the control thread. May be called on any thread.
   *
   * @param event the event; dropped if too many are queued
   */
  public void offer(ControlEvent event) {
    if (pendingEvents.incrementAndGet() > MAX_PENDING_EVENTS) {
      pendingEvents.decrementAndGet();
      return;
    }
    runOnControlThread(
        () -> {
          pendingEvents.decrementAndGet();
          handle(event);
        });
  }

  /**
   * Submits an operator's request to the control thread. May be called on any thread.
   *
   * @param request the request
   * @return the reply
   */
  public Future<OperatorReply> submit(OperatorRequest request) {
    Promise<OperatorReply> promise = Promise.promise();
    runOnControlThread(
        () -> {
          long call = calls.next();
          pendingOperatorRequests.put(call, promise);
          handle(new ControlEvent.OperatorRequested(call, request));
        });
    return promise.future();
  }

  /**
   * Hands over all dispatch leases and the coordinator role to other daemons. May be called on any
   * thread.
   *
   * @return completes when the handover is complete
   */
  public Future<Void> handOver() {
    offer(new ControlEvent.StopRequested());
    return handoverCompleted.future();
  }

  /** Stops the control thread. */
  public void close() {
    executor.shutdownNow();
  }

  private void runOnControlThread(Runnable task) {
    if (!executor.isShutdown()) {
      executor.execute(GuardedTask.of(task, this::taskFailed));
    }
  }

  private void taskFailed(Throwable cause) {
    ports.log(
        DecisionEvent.of(EventCode.TASK_FAILED, "cause", cause, "at", GuardedTask.origin(cause)));
  }

  private void tick() {
    handle(new ControlEvent.Tick());
    long now = timers.nowNanos();
    leaseListener.accept(ownership.dispatchLeases(now));
    ports.updateStateMetrics(
        ownership.hasAuthority(now), store.configuration().version(), configurationAge.age(now));
  }

  private void handle(ControlEvent event) {
    for (ControlComponent component : components) {
      component.handle(event, timers.nowNanos()).forEach(this::execute);
    }
    if (routingChanged) {
      routingChanged = false;
      routingState.publish(
          SnapshotBuilder.build(store, membership.self().id()), SnapshotBuilder.hosts(membership));
    }
  }

  private void execute(ControlAction action) {
    switch (action) {
      case ControlAction.SendToPeer send ->
          membership.find(send.to()).ifPresent(host -> ports.send(host, send.message()));
      case ControlAction.CallPlatform call ->
          ports
              .call(call.request())
              .onSuccess(reply -> offer(new ControlEvent.PlatformReplied(call.call(), reply)));
      case ControlAction.CallUpstream call -> callUpstream(call);
      case ControlAction.RoutingChanged changed -> routingChanged = true;
      case ControlAction.ReplyToOperator reply ->
          Optional.ofNullable(pendingOperatorRequests.remove(reply.call()))
              .ifPresent(promise -> promise.complete(reply.reply()));
      case ControlAction.Log log -> log(log.event());
      case ControlAction.HandoverCompleted done -> handoverCompleted.tryComplete();
    }
  }

  private void log(DecisionEvent event) {
    decisionLog.record(event, timers.nowNanos());
    ports.log(event);
  }

  private void callUpstream(ControlAction.CallUpstream call) {
    Optional<NetworkAddress> address = addressOf(call.upstream());
    if (address.isEmpty()) {
      upstreamReplied(call, new UpstreamRequest.Reply.NoAnswer());
      return;
    }
    ports.call(address.get(), call.request()).onSuccess(reply -> upstreamReplied(call, reply));
  }

  private void upstreamReplied(ControlAction.CallUpstream call, UpstreamRequest.Reply reply) {
    instanceOf(reply).ifPresent(instance -> ports.instanceSeen(call.upstream(), instance));
    offer(new ControlEvent.UpstreamReplied(call.call(), call.upstream(), reply));
  }

  private static Optional<String> instanceOf(UpstreamRequest.Reply reply) {
    return switch (reply) {
      case UpstreamRequest.Reply.Probed r -> Optional.of(r.instance());
      case UpstreamRequest.Reply.Granted r -> Optional.of(r.instance());
      case UpstreamRequest.Reply.Released r -> Optional.of(r.instance());
      case UpstreamRequest.Reply.Releasing r -> Optional.of(r.instance());
      case UpstreamRequest.Reply.Outdated r -> Optional.of(r.instance());
      case UpstreamRequest.Reply.NoAnswer r -> Optional.empty();
    };
  }

  private Optional<NetworkAddress> addressOf(UpstreamId upstream) {
    for (ServiceDefinition service : store.configuration().services().values()) {
      for (UpstreamDefinition definition : service.upstreams()) {
        if (definition.id().equals(upstream)) {
          return Optional.of(definition.address());
        }
      }
    }
    return Optional.empty();
  }
}
