package org.catkinlift.daemon.upstream;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.catkinlift.control.DispatchLeaseSnapshot;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.daemon.EventSink;
import org.catkinlift.daemon.RoutingStateHolder;
import org.catkinlift.daemon.relay.AttemptListener;
import org.catkinlift.daemon.relay.AttemptStream;
import org.catkinlift.daemon.relay.ContextAttemptStream;
import org.catkinlift.daemon.settings.DaemonSettings;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.protocol.RelayHead;

/** Manages the workers of the upstreams that one event loop dispatches to. */
public final class UpstreamWorkers {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
  private static final Duration LOAD_REPORT_INTERVAL = Duration.ofMillis(250);
  private static final Duration RETRY_AFTER = Duration.ofMillis(250);

  private final Vertx vertx;
  private final Context context;
  private final DaemonSettings settings;
  private final RoutingStateHolder routingState;
  private final EventSink events;
  private final AtomicLong lastAttemptNumber;
  private final Consumer<UpstreamId> removalListener;
  private final Map<UpstreamId, UpstreamWorker> workers = new TreeMap<>();
  private final List<Promise<Void>> drainWaiters = new ArrayList<>();
  private final Consumer<ImmutableList<UpstreamLoad>> loadListener;
  private final long tickTimer;
  private final long loadTimer;
  private ImmutableMap<UpstreamId, Epoch> revokedLeases = ImmutableMap.of();

  /**
   * Creates the workers of one event loop; called on that event loop.
   *
   * @param vertx creates timers and HTTP clients
   * @param settings the daemon's settings
   * @param routingState provides the definitions of upstreams
   * @param events logs decision events
   * @param lastAttemptNumber counts the attempts of the daemon, over all its event loops
   * @param loadListener receives the loads, every 250 ms and when the revoked leases change
   * @param removalListener receives each upstream that this daemon no longer dispatches to and that
   *     has no running request; called on the event loop
   */
  public UpstreamWorkers(
      Vertx vertx,
      DaemonSettings settings,
      RoutingStateHolder routingState,
      EventSink events,
      AtomicLong lastAttemptNumber,
      Consumer<ImmutableList<UpstreamLoad>> loadListener,
      Consumer<UpstreamId> removalListener) {
    this.vertx = vertx;
    this.context = vertx.getOrCreateContext();
    this.settings = settings;
    this.routingState = routingState;
    this.events = events;
    this.lastAttemptNumber = lastAttemptNumber;
    this.loadListener = loadListener;
    this.removalListener = removalListener;
    this.tickTimer = vertx.setPeriodic(TICK_INTERVAL.toMillis(), t -> tick());
    this.loadTimer =
        vertx.setPeriodic(LOAD_REPORT_INTERVAL.toMillis(), t -> loadListener.accept(loads()));
  }

  private void tick() {
    workers.values().forEach(UpstreamWorker::tick);
    if (workers.values().stream().allMatch(UpstreamWorker::isIdle)) {
      drainWaiters.forEach(Promise::tryComplete);
      drainWaiters.clear();
    }
  }

  /**
   * Waits for running attempts to complete. May be called on any thread.
   *
   * @return completes when no attempt is running or queued
   */
  public Future<Void> drained() {
    Promise<Void> promise = Promise.promise();
    context.runOnContext(v -> drainWaiters.add(promise));
    return promise.future();
  }

  /**
   * Opens an attempt. May be called on any thread.
   *
   * @param head the head of the relayed request
   * @param listener receives the response; called on this event loop
   * @return the stream of the attempt
   */
  public AttemptStream open(RelayHead head, AttemptListener listener) {
    var stream = new PendingAttemptStream();
    context.runOnContext(v -> stream.target = openOnEventLoop(head, listener));
    return new ContextAttemptStream(context, stream);
  }

  private AttemptStream openOnEventLoop(RelayHead head, AttemptListener listener) {
    UpstreamWorker worker = workers.get(head.upstream());
    if (worker == null) {
      listener.failed(Outcome.notRun(RefusalCode.DISPATCHER_UNREACHABLE, RETRY_AFTER));
      return new PendingAttemptStream();
    }
    return worker.open(lastAttemptNumber.incrementAndGet(), head, listener);
  }

  /**
   * Applies the dispatch leases that this daemon holds, and the revoked ones, for the upstreams of
   * this event loop. May be called on any thread.
   *
   * @param leases the leases; this daemon stops dispatching to upstreams that have none
   */
  public void leasesChanged(DispatchLeaseSnapshot leases) {
    context.runOnContext(v -> applyLeases(leases));
  }

  private void applyLeases(DispatchLeaseSnapshot leases) {
    applyHeldLeases(leases.held(), leases.atNanos());
    ImmutableSet<UpstreamId> held =
        leases.held().stream().map(DispatchLease::upstream).collect(toImmutableSet());
    for (UpstreamWorker worker : ImmutableList.copyOf(workers.values())) {
      UpstreamId upstream = worker.upstream().id();
      if (held.contains(upstream)) {
        continue;
      }
      Epoch revokedEpoch = leases.revoked().get(upstream);
      if (revokedEpoch != null) {
        worker.leaseReleased(revokedEpoch);
      }
      releaseWorker(worker);
    }
    if (!leases.revoked().equals(revokedLeases)) {
      revokedLeases = leases.revoked();
      loadListener.accept(loads());
    }
  }

  private void applyHeldLeases(ImmutableList<DispatchLease> leases, long atNanos) {
    ImmutableMap<UpstreamId, UpstreamDefinition> definitions = definitions();
    for (DispatchLease lease : leases) {
      UpstreamDefinition definition = definitions.get(lease.upstream());
      if (definition != null) {
        findOrCreateWorker(definition).leaseGranted(lease, atNanos);
      }
    }
  }

  private ImmutableMap<UpstreamId, UpstreamDefinition> definitions() {
    var definitions = ImmutableMap.<UpstreamId, UpstreamDefinition>builder();
    for (ServiceDefinition service :
        routingState.current().snapshot().configuration().services().values()) {
      service.upstreams().forEach(u -> definitions.put(u.id(), u));
    }
    return definitions.buildKeepingLast();
  }

  private UpstreamWorker findOrCreateWorker(UpstreamDefinition definition) {
    UpstreamWorker existing = workers.get(definition.id());
    if (existing != null && existing.upstream().equals(definition)) {
      return existing;
    }
    if (existing != null) {
      existing.leaseLost();
      if (existing.isIdle()) {
        existing.close();
      }
    }
    var worker = new UpstreamWorker(vertx, definition, settings.host(), settings.limits(), events);
    workers.put(definition.id(), worker);
    return worker;
  }

  /**
   * Refuses queued attempts; removes the worker once the end of its running requests has been
   * reported.
   */
  private void releaseWorker(UpstreamWorker worker) {
    worker.leaseLost();
    if (worker.isFinished()) {
      workers.remove(worker.upstream().id(), worker);
      worker.close();
      removalListener.accept(worker.upstream().id());
    }
  }

  /**
   * Notifies the worker of an upstream of the instance that a control reply stated. May be called
   * on any thread.
   *
   * @param upstream the upstream
   * @param instance identifies the current run of the upstream's process
   */
  public void instanceSeen(UpstreamId upstream, String instance) {
    context.runOnContext(
        v -> {
          UpstreamWorker worker = workers.get(upstream);
          if (worker != null) {
            worker.instanceSeen(instance);
          }
        });
  }

  /**
   * Returns the loads of the upstreams; called on this event loop.
   *
   * @return the loads
   */
  public ImmutableList<UpstreamLoad> loads() {
    return workers.values().stream().map(UpstreamWorker::load).collect(toImmutableList());
  }

  /**
   * Returns the event loop.
   *
   * @return the context
   */
  public Context context() {
    return context;
  }

  /**
   * Stops the timers, fails the remaining attempts and closes all connections; called on this event
   * loop.
   */
  public void close() {
    vertx.cancelTimer(tickTimer);
    vertx.cancelTimer(loadTimer);
    workers.values().forEach(UpstreamWorker::abort);
    workers.values().forEach(UpstreamWorker::close);
    workers.clear();
  }

  /** Represents an attempt until it is open on its event loop, and one that was refused. */
  private static final class PendingAttemptStream implements AttemptStream {
    private AttemptStream target;

    @Override
    public void sendBody(Buffer data, boolean last) {
      if (target != null) {
        target.sendBody(data, last);
      }
    }

    @Override
    public void grantCredit(int bytes) {
      if (target != null) {
        target.grantCredit(bytes);
      }
    }

    @Override
    public void cancel() {
      if (target != null) {
        target.cancel();
      }
    }
  }
}
