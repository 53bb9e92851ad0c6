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
import org.catkinlift.daemon.relay.ContextDispatchEnd;
import org.catkinlift.daemon.relay.DispatchEnd;
import org.catkinlift.daemon.relay.EntryEnd;
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
  private final RoutingStateHolder states;
  private final EventSink events;
  private final AtomicLong attempts;
  private final Consumer<UpstreamId> onLeft;
  private final Map<UpstreamId, UpstreamWorker> workers = new TreeMap<>();
  private final List<Promise<Void>> drained = new ArrayList<>();
  private final Consumer<ImmutableList<UpstreamLoad>> loads;
  private final long timer;
  private final long loadTimer;
  private ImmutableMap<UpstreamId, Epoch> givenUp = ImmutableMap.of();

  /**
   * Creates the registry of one event loop; called on it.
   *
   * @param vertx the event loops
   * @param settings the daemon's settings
   * @param states shows the definitions of upstreams
   * @param events takes log events
   * @param attempts numbers the attempts of the daemon
   * @param loads takes the loads, every 250 ms and when a lease was given up
   * @param onLeft takes each upstream that is no longer dispatched from here and has no running
   *     request; called on the event loop
   */
  public UpstreamWorkers(
      Vertx vertx,
      DaemonSettings settings,
      RoutingStateHolder states,
      EventSink events,
      AtomicLong attempts,
      Consumer<ImmutableList<UpstreamLoad>> loads,
      Consumer<UpstreamId> onLeft) {
    this.vertx = vertx;
    this.context = vertx.getOrCreateContext();
    this.settings = settings;
    this.states = states;
    this.events = events;
    this.attempts = attempts;
    this.loads = loads;
    this.onLeft = onLeft;
    this.timer = vertx.setPeriodic(TICK_INTERVAL.toMillis(), t -> tick());
    this.loadTimer = vertx.setPeriodic(LOAD_REPORT_INTERVAL.toMillis(), t -> loads.accept(loads()));
  }

  private void tick() {
    workers.values().forEach(UpstreamWorker::tick);
    if (workers.values().stream().allMatch(UpstreamWorker::isIdle)) {
      drained.forEach(Promise::tryComplete);
      drained.clear();
    }
  }

  /**
   * Waits for the running attempts. May be called on any thread.
   *
   * @return completes when no attempt runs or waits
   */
  public Future<Void> drained() {
    Promise<Void> promise = Promise.promise();
    context.runOnContext(v -> drained.add(promise));
    return promise.future();
  }

  /**
   * Opens the dispatcher side of an attempt. May be called on any thread.
   *
   * @param head the request
   * @param entry the entry side; called on this event loop
   * @return the dispatcher side
   */
  public DispatchEnd open(RelayHead head, EntryEnd entry) {
    var end = new OpeningEnd();
    context.runOnContext(v -> end.target = openHere(head, entry));
    return new ContextDispatchEnd(context, end);
  }

  private DispatchEnd openHere(RelayHead head, EntryEnd entry) {
    UpstreamWorker worker = workers.get(head.upstream());
    if (worker == null) {
      entry.failed(Outcome.notRun(RefusalCode.DISPATCHER_UNREACHABLE, RETRY_AFTER));
      return new OpeningEnd();
    }
    return worker.open(attempts.incrementAndGet(), head, entry);
  }

  /**
   * Takes the dispatch leases that this daemon holds or has given up for the upstreams of this
   * event loop.
   *
   * @param duties the leases; an upstream that is left out is no longer dispatched from here
   */
  public void dutiesChanged(DispatchLeaseSnapshot duties) {
    context.runOnContext(v -> take(duties));
  }

  private void take(DispatchLeaseSnapshot duties) {
    takeLeases(duties.held(), duties.atNanos());
    ImmutableSet<UpstreamId> held =
        duties.held().stream().map(DispatchLease::upstream).collect(toImmutableSet());
    for (UpstreamWorker worker : ImmutableList.copyOf(workers.values())) {
      UpstreamId upstream = worker.upstream().id();
      if (held.contains(upstream)) {
        continue;
      }
      Epoch givenUp = duties.revoked().get(upstream);
      if (givenUp != null) {
        worker.leaseGivenUp(givenUp);
      }
      release(worker);
    }
    if (!duties.revoked().equals(givenUp)) {
      givenUp = duties.revoked();
      loads.accept(loads());
    }
  }

  private void takeLeases(ImmutableList<DispatchLease> leases, long atNanos) {
    ImmutableMap<UpstreamId, UpstreamDefinition> definitions = definitions();
    for (DispatchLease lease : leases) {
      UpstreamDefinition definition = definitions.get(lease.upstream());
      if (definition != null) {
        workerOf(definition).leaseGranted(lease, atNanos);
      }
    }
  }

  private ImmutableMap<UpstreamId, UpstreamDefinition> definitions() {
    var definitions = ImmutableMap.<UpstreamId, UpstreamDefinition>builder();
    for (ServiceDefinition service :
        states.state().snapshot().configuration().services().values()) {
      service.upstreams().forEach(u -> definitions.put(u.id(), u));
    }
    return definitions.buildKeepingLast();
  }

  private UpstreamWorker workerOf(UpstreamDefinition definition) {
    UpstreamWorker present = workers.get(definition.id());
    if (present != null && present.upstream().equals(definition)) {
      return present;
    }
    if (present != null) {
      present.leaseLost();
      if (present.isIdle()) {
        present.close();
      }
    }
    var worker = new UpstreamWorker(vertx, definition, settings.host(), settings.limits(), events);
    workers.put(definition.id(), worker);
    return worker;
  }

  /** Refuses what waits; the worker goes once the end of its running requests is reported. */
  private void release(UpstreamWorker worker) {
    worker.leaseLost();
    if (worker.isFinished()) {
      workers.remove(worker.upstream().id(), worker);
      worker.close();
      onLeft.accept(worker.upstream().id());
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
    vertx.cancelTimer(timer);
    vertx.cancelTimer(loadTimer);
    workers.values().forEach(UpstreamWorker::abort);
    workers.values().forEach(UpstreamWorker::close);
    workers.clear();
  }

  /** Stands for an attempt until it is open on its event loop, and for one that was refused. */
  private static final class OpeningEnd implements DispatchEnd {
    private DispatchEnd target;

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
