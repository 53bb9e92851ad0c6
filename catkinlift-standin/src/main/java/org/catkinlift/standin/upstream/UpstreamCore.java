package org.catkinlift.standin.upstream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.control.UpstreamRequest.Reply;
import org.catkinlift.model.GrantChecking;

/**
 * Makes the decisions of an upstream and keeps its record. Confined to the upstream's event loop.
 */
final class UpstreamCore {

  private final UpstreamSettings settings;
  private final String instancePrefix;
  private final RecordKeeper keeper;
  private final LoadHistory loads = new LoadHistory();
  private final Set<String> arrivedIds = new HashSet<>();
  private int starts = 1;
  private long numbers;
  private GrantTable grants = GrantTable.EMPTY;
  private WorkState work;

  /**
   * Creates a core.
   *
   * @param settings describes the upstream
   * @param startNanos the time; makes instance ids differ between processes
   */
  UpstreamCore(UpstreamSettings settings, long startNanos) {
    this.settings = settings;
    this.instancePrefix = settings.id() + "-" + Long.toHexString(startNanos) + "-";
    this.keeper = new RecordKeeper(settings.id(), settings.clock());
    this.work = idle();
  }

  String instance() {
    return instancePrefix + starts;
  }

  long nextNumber() {
    return ++numbers;
  }

  boolean checksGrants() {
    return switch (settings.grantChecking()) {
      case GrantChecking.Checked c -> true;
      case GrantChecking.Unchecked c -> false;
    };
  }

  ImmutableList<WorkAction> arrive(Work request, long nowNanos) {
    arrivedIds.add(request.requestId());
    return apply(work.arrive(request, covers(request, nowNanos), nowNanos), nowNanos);
  }

  /** Ends an execution; without effect if it was stopped before. */
  ImmutableList<WorkAction> finish(long number, long nowNanos) {
    if (!isRunning(number)) {
      return ImmutableList.of();
    }
    keeper.ended(number, nowNanos);
    return apply(work.finish(number, w -> covers(w, nowNanos), nowNanos), nowNanos);
  }

  ImmutableList<WorkAction> cancel(String requestId, long nowNanos) {
    return apply(work.cancel(requestId, w -> covers(w, nowNanos), nowNanos), nowNanos);
  }

  /** Tells what is left of the requests with an id. */
  Cancellation cancellation(String requestId) {
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

  /** Makes the upstream cold without a new instance. */
  void becomeCold() {
    work =
        new WorkState(
            work.running(),
            work.waiting(),
            Warmth.cold(settings.executionSlots()),
            work.queueLimit(),
            work.draining());
  }

  /** Starts a new instance, which knows nothing of the earlier one. */
  void restart(long nowNanos) {
    keeper.instanceEnded(nowNanos);
    starts++;
    grants = GrantTable.EMPTY;
    work = idle();
  }

  Reply probe(long nowNanos) {
    return new Reply.Probed(instance(), clockMillis(nowNanos), grants.newest());
  }

  Reply grant(UpstreamRequest.Grant grant, long nowNanos) {
    return grants
        .with(grant, instance())
        .map(
            next -> {
              grants = next;
              keeper.granted(grant, nowNanos);
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
      case LoadReporting.Current r -> presentLoad();
      case LoadReporting.Lagging r -> loads.at(nowNanos - r.lag().toNanos());
      case LoadReporting.Misleading r -> new LoadReport(r.running(), 0);
    };
  }

  boolean draining() {
    return work.draining();
  }

  UpstreamRecord record() {
    return keeper.snapshot();
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
    keeper.released(release, nowNanos);
    return new Reply.Released(instance(), clockMillis(nowNanos), release.sequence());
  }

  private Reply outdated(long nowNanos) {
    return new Reply.Outdated(instance(), clockMillis(nowNanos), grants.newest());
  }

  private ImmutableList<WorkAction> apply(WorkState.Step step, long nowNanos) {
    work = step.next();
    loads.add(nowNanos, presentLoad());
    for (WorkAction action : step.actions()) {
      switch (action) {
        case WorkAction.Start a -> keeper.started(a.work(), instance(), nowNanos);
        case WorkAction.Stop a -> keeper.ended(a.work().number(), nowNanos);
        case WorkAction.Refuse a -> {}
      }
    }
    return step.actions();
  }

  private LoadReport presentLoad() {
    return new LoadReport(work.running().size(), work.waiting().size());
  }

  private boolean covers(Work request, long nowNanos) {
    return grants.covers(request, clockMillis(nowNanos));
  }

  private long clockMillis(long nowNanos) {
    return settings.clock().millisAt(nowNanos);
  }

  private WorkState idle() {
    Warmth warmth =
        settings.startsCold()
            ? Warmth.cold(settings.executionSlots())
            : Warmth.warm(settings.executionSlots());
    return WorkState.idle(warmth, settings.queueLimit());
  }
}
