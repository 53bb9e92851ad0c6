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

/** Keeps the workers of the upstreams that one event loop dispatches to. */
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
   * Creates the registry of one event loop; called on it.
   *
   * @param vertx the event loops
   * @param settings the daemon's settings
   * @param routingState shows the definitions of upstreams
   * @param events takes log events
   * @param lastAttemptNumber numbers the attempts of the daemon
   * @param loadListener takes the loads, every 250 ms and when a lease was given up
   * @param removalListener takes each upstream that is no longer dispatched from here and has no
   *     running request; called on the event loop
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
   * Waits for the running attempts. May be called on any thread.
   *
   * @return completes when no attempt runs or waits
   */
  public Future<Void> drained() {
    Promise<Void> promise = Promise.promise();
    context.runOnContext(v -> drainWaiters.add(promise));
    return promise.future();
  }

  /**
   * Opens the dispatcher side of an attempt. May be called on any thread.
   *
   * @param head the request
   * @param listener the entry side; called on this event loop
   * @return the dispatcher side
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
   * Takes the dispatch leases that this daemon holds or has given up for the upstreams of this
   * event loop.
   *
   * @param leases the leases; an upstream that is left out is no longer dispatched from here
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

  /** Refuses what waits; the worker goes once the end of its running requests is reported. */
  private void releaseWorker(UpstreamWorker worker) {
    worker.leaseLost();
    if (worker.isFinished()) {
      workers.remove(worker.upstream().id(), worker);
      worker.close();
      removalListener.accept(worker.upstream().id());
    }
  }

  /**
   * Takes the instance of an upstream that the control thread learned from a reply.
   *
   * @param upstream the upstream
   * @param instance the run of its process
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

  /** Stops the timer and closes all connections; called on this event loop. */
  public void close() {
    vertx.cancelTimer(tickTimer);
    vertx.cancelTimer(loadTimer);
    workers.values().forEach(UpstreamWorker::abort);
    workers.values().forEach(UpstreamWorker::close);
    workers.clear();
  }

  /** Stands for an attempt until it is open on its event loop, and for one that was refused. */
  private static final class PendingAttemptStream implements AttemptStream {
    private AttemptStream target;

    @Override
    public void body(Buffer data, boolean last) {
      if (target != null) {
        target.body(data, last);
      }
    }

    @Override
    public void credit(int bytes) {
      if (target != null) {
        target.credit(bytes);
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
