package org.catkinlift.standin.upstream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.control.UpstreamRequest.Reply;
import org.catkinlift.model.GrantChecking;

/**
 * Makes the decisions of an upstream and records its activity. Confined to the upstream's event
 * loop.
 */
final class UpstreamCore {

  private final UpstreamSettings settings;
  private final String instancePrefix;
  private final ActivityRecorder recorder;
  private final LoadHistory loadHistory = new LoadHistory();
  private final Set<String> arrivedIds = new HashSet<>();
  private int instanceCount = 1;
  private long lastNumber;
  private GrantTable grants = GrantTable.EMPTY;
  private WorkState work;

  /**
   * Creates a core.
   *
   * @param settings the settings of the upstream
   * @param startNanos the start time; makes instance ids differ between processes
   */
  UpstreamCore(UpstreamSettings settings, long startNanos) {
    this.settings = settings;
    this.instancePrefix = settings.id() + "-" + Long.toHexString(startNanos) + "-";
    this.recorder = new ActivityRecorder(settings.id(), settings.clock());
    this.work = idle();
  }

  String instance() {
    return instancePrefix + instanceCount;
  }

  long nextNumber() {
    return ++lastNumber;
  }

  boolean checksGrants() {
    return switch (settings.grantChecking()) {
      case GrantChecking.Checked c -> true;
      case GrantChecking.Unchecked c -> false;
    };
  }

  ImmutableList<WorkAction> admit(Work request, long nowNanos) {
    arrivedIds.add(request.requestId());
    return apply(work.admit(request, covers(request, nowNanos), nowNanos), nowNanos);
  }

  /** Completes an execution; has no effect if it was already stopped. */
  ImmutableList<WorkAction> finish(long number, long nowNanos) {
    if (!isRunning(number)) {
      return ImmutableList.of();
    }
    recorder.ended(number, nowNanos);
    return apply(work.finish(number, w -> covers(w, nowNanos), nowNanos), nowNanos);
  }

  ImmutableList<WorkAction> cancel(String requestId, long nowNanos) {
    return apply(work.cancel(requestId, w -> covers(w, nowNanos), nowNanos), nowNanos);
  }

  /** Returns the status of the requests with an id after a cancellation. */
  Cancellation cancellationStatus(String requestId) {
    if (work.running().values().stream().anyMatch(w -> w.requestId().equals(requestId))) {
      return Cancellation.RUNNING;
    }
    return arrivedIds.contains(requestId) ? Cancellation.ENDED : Cancellation.UNKNOWN;
  }

  void abandon(long number) {
    work = work.abandon(number);
  }

  boolean isRunning(long number) {
    return work.running().containsKey(number);
  }

  void drain(boolean draining) {
    work = work.withDraining(draining);
  }

  /** Resets the upstream to its cold state without starting a new instance. */
  void becomeCold() {
    work =
        new WorkState(
            work.running(),
            work.waiting(),
            WarmupState.cold(settings.executionSlots()),
            work.queueLimit(),
            work.draining());
  }

  /** Starts a new instance without the requests, grants and warm-up of the previous one. */
  void restart(long nowNanos) {
    recorder.instanceEnded(nowNanos);
    instanceCount++;
    grants = GrantTable.EMPTY;
    work = idle();
  }

  Reply probe(long nowNanos) {
    return new Reply.Probed(instance(), clockMillis(nowNanos), grants.latestSequence());
  }

  Reply grant(UpstreamRequest.Grant grant, long nowNanos) {
    return grants
        .with(grant, instance())
        .map(
            next -> {
              grants = next;
              recorder.granted(grant, nowNanos);
              return (Reply) new Reply.Granted(instance(), clockMillis(nowNanos), grant.sequence());
            })
        .orElseGet(() -> outdated(nowNanos));
  }

  Reply release(UpstreamRequest.Release release, long nowNanos) {
    return grants
        .without(release)
        .map(
            next -> {
              grants = next;
              return released(release, nowNanos);
            })
        .orElseGet(() -> outdated(nowNanos));
  }

  LoadReport load(LoadReporting reporting, long nowNanos) {
    return switch (reporting) {
      case LoadReporting.Current r -> currentLoad();
      case LoadReporting.Lagging r -> loadHistory.at(nowNanos - r.lag().toNanos());
      case LoadReporting.Misleading r -> new LoadReport(r.running(), 0);
    };
  }

  boolean draining() {
    return work.draining();
  }

  UpstreamActivity activity() {
    return recorder.snapshot();
  }

  private Reply released(UpstreamRequest.Release release, long nowNanos) {
    ImmutableSet<Integer> slots = ImmutableSet.copyOf(release.slots());
    boolean busy =
        work.running().values().stream()
            .anyMatch(
                w -> slots.contains(w.slot()) || release.overrides().contains(w.task().key()));
    if (busy) {
      return new Reply.Releasing(instance(), clockMillis(nowNanos), release.sequence());
    }
    recorder.released(release, nowNanos);
    return new Reply.Released(instance(), clockMillis(nowNanos), release.sequence());
  }

  private Reply outdated(long nowNanos) {
    return new Reply.Outdated(instance(), clockMillis(nowNanos), grants.latestSequence());
  }

  private ImmutableList<WorkAction> apply(WorkState.Step step, long nowNanos) {
    work = step.next();
    loadHistory.add(nowNanos, currentLoad());
    for (WorkAction action : step.actions()) {
      switch (action) {
        case WorkAction.Start a -> recorder.started(a.work(), instance(), nowNanos);
        case WorkAction.Stop a -> recorder.ended(a.work().number(), nowNanos);
        case WorkAction.Refuse a -> {}
      }
    }
    return step.actions();
  }

  private LoadReport currentLoad() {
    return new LoadReport(work.running().size(), work.waiting().size());
  }

  private boolean covers(Work request, long nowNanos) {
    return grants.covers(request, clockMillis(nowNanos));
  }

  private long clockMillis(long nowNanos) {
    return settings.clock().millisAt(nowNanos);
  }

  private WorkState idle() {
    WarmupState warmup =
        settings.startsCold()
            ? WarmupState.cold(settings.executionSlots())
            : WarmupState.warm(settings.executionSlots());
    return WorkState.idle(warmup, settings.queueLimit());
  }
}
