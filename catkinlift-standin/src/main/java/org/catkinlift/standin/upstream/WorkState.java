package org.catkinlift.standin.upstream;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.function.Predicate;

/**
 * The running and queued requests of an upstream; decides which requests run.
 *
 * @param running the requests in execution, by sequence number
 * @param waiting the requests queued for an execution slot, oldest first
 * @param warmup the warm-up progress of the upstream
 * @param queueLimit the maximum number of queued requests when the upstream is warm
 * @param draining whether the upstream refuses new requests
 */
public record WorkState(
    ImmutableMap<Long, Work> running,
    ImmutableList<Work> waiting,
    WarmupState warmup,
    int queueLimit,
    boolean draining) {

  /**
   * The result of an event.
   *
   * @param next the state after the event
   * @param actions the actions to execute, in order
   */
  public record Step(WorkState next, ImmutableList<WorkAction> actions) {}

  /**
   * Returns the state of an upstream without requests.
   *
   * @param warmup its warm-up progress
   * @param queueLimit the maximum number of queued requests when it is warm
   * @return the state
   */
  public static WorkState idle(WarmupState warmup, int queueLimit) {
    return new WorkState(ImmutableMap.of(), ImmutableList.of(), warmup, queueLimit, false);
  }

  /**
   * Starts, queues or refuses a new request.
   *
   * @param work the request
   * @param granted whether a grant covers it
   * @param nowNanos the current time
   * @return the step
   */
  public Step admit(Work work, boolean granted, long nowNanos) {
    if (draining) {
      return refuse(work, NotRun.DRAINING);
    }
    if (!granted) {
      return refuse(work, NotRun.NOT_GRANTED);
    }
    if (nowNanos >= work.startBeforeNanos()) {
      return refuse(work, NotRun.TOO_LATE);
    }
    if (running.size() < warmup.slots()) {
      return new Step(
          withRunning(runningWith(work)),
          ImmutableList.of(new WorkAction.Start(work, warmup.slowdown())));
    }
    if (waiting.size() < currentQueueLimit()) {
      return new Step(
          withWaiting(ImmutableList.<Work>builder().addAll(waiting).add(work).build()),
          ImmutableList.of());
    }
    return withWarmup(warmup.afterOverload()).refuse(work, NotRun.SHED);
  }

  /**
   * Frees the execution slot of a completed request and starts queued requests.
   *
   * @param number the sequence number of the request
   * @param granted tests whether a grant covers a request
   * @param nowNanos the current time
   * @return the step
   */
  public Step finish(long number, Predicate<Work> granted, long nowNanos) {
    WorkState next = withWarmup(warmup.afterCompletion()).withRunning(runningWithout(number));
    return next.startWaiting(granted, nowNanos);
  }

  /**
   * Cancels all requests with an id, except orders that are already running.
   *
   * @param requestId the id
   * @param granted tests whether a grant covers a request
   * @param nowNanos the current time
   * @return the step
   */
  public Step cancel(String requestId, Predicate<Work> granted, long nowNanos) {
    var actions = ImmutableList.<WorkAction>builder();
    waiting.stream()
        .filter(w -> w.requestId().equals(requestId))
        .forEach(w -> actions.add(new WorkAction.Refuse(w, NotRun.CANCELLED)));
    ImmutableList<Work> stopped =
        running.values().stream()
            .filter(w -> w.requestId().equals(requestId) && !(w.task() instanceof Task.Order))
            .collect(toImmutableList());
    stopped.forEach(w -> actions.add(new WorkAction.Stop(w)));
    Step step =
        withWaiting(
                waiting.stream()
                    .filter(w -> !w.requestId().equals(requestId))
                    .collect(toImmutableList()))
            .withRunning(ImmutableMap.copyOf(Maps.filterValues(running, w -> !stopped.contains(w))))
            .startWaiting(granted, nowNanos);
    return new Step(step.next(), actions.addAll(step.actions()).build());
  }

  /**
   * Removes a queued request whose connection is closed.
   *
   * @param number the sequence number of the request
   * @return the next state
   */
  public WorkState abandon(long number) {
    return withWaiting(
        waiting.stream().filter(w -> w.number() != number).collect(toImmutableList()));
  }

  /**
   * Returns the state with draining started or stopped.
   *
   * @param draining whether the upstream refuses new requests
   * @return the next state
   */
  public WorkState withDraining(boolean draining) {
    return new WorkState(running, waiting, warmup, queueLimit, draining);
  }

  private Step startWaiting(Predicate<Work> granted, long nowNanos) {
    WorkState state = this;
    var actions = ImmutableList.<WorkAction>builder();
    while (!state.waiting.isEmpty() && state.running.size() < state.warmup.slots()) {
      Work work = state.waiting.get(0);
      state = state.withWaiting(state.waiting.subList(1, state.waiting.size()));
      if (!granted.test(work)) {
        actions.add(new WorkAction.Refuse(work, NotRun.NOT_GRANTED));
      } else if (nowNanos >= work.startBeforeNanos()) {
        actions.add(new WorkAction.Refuse(work, NotRun.TOO_LATE));
      } else {
        state = state.withRunning(state.runningWith(work));
        actions.add(new WorkAction.Start(work, warmup.slowdown()));
      }
    }
    return new Step(state, actions.build());
  }

  /** Until it is warm, an upstream queues at most as many requests as it executes concurrently. */
  private int currentQueueLimit() {
    return warmup.isWarm() ? queueLimit : Math.min(queueLimit, warmup.slots());
  }

  private ImmutableMap<Long, Work> runningWith(Work work) {
    return ImmutableMap.<Long, Work>builder()
        .putAll(running)
        .put(work.number(), work)
        .buildOrThrow();
  }

  private ImmutableMap<Long, Work> runningWithout(long number) {
    return ImmutableMap.copyOf(Maps.filterKeys(running, n -> n != number));
  }

  private Step refuse(Work work, NotRun reason) {
    return new Step(this, ImmutableList.of(new WorkAction.Refuse(work, reason)));
  }

  private WorkState withRunning(ImmutableMap<Long, Work> running) {
    return new WorkState(running, waiting, warmup, queueLimit, draining);
  }

  private WorkState withWaiting(ImmutableList<Work> waiting) {
    return new WorkState(running, waiting, warmup, queueLimit, draining);
  }

  private WorkState withWarmup(WarmupState warmup) {
    return new WorkState(running, waiting, warmup, queueLimit, draining);
  }
}
