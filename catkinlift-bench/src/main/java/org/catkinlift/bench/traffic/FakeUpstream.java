package org.catkinlift.bench.traffic;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.catkinlift.limits.AttemptResult;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.timer.TimerService;

/**
 * An upstream that executes each request for its given execution time.
 *
 * <p>Its capacity is the number of its execution slots. A cold upstream is slow and starts with a
 * capacity of one, which grows by one each time it has completed {@link #COMPLETIONS_PER_SLOT}
 * requests. Requests above the capacity wait in an internal queue, or are shed if shedding is on.
 */
final class FakeUpstream {
  /**
   * Time after the first shed answer by which the router has received it and all requests sent
   * before have arrived.
   */
  private static final long SHED_NOTICE_NANOS = Duration.ofMillis(2).toNanos();

  private static final int COMPLETIONS_PER_SLOT = 4;
  private static final int COLD_SLOW_FACTOR = 6;

  private final UpstreamId id;
  private final int slots;
  private final TimerService timers;
  private final InvariantChecker invariantChecker;
  private final Map<Long, Execution> running = new LinkedHashMap<>();
  private final Deque<Execution> waiting = new ArrayDeque<>();
  private final Set<Long> cancelled = new HashSet<>();
  private final Set<Long> silentConnections = new HashSet<>();
  private int instance = 1;
  private int completionsUntilWarm;
  private int slowFactor = 1;
  private boolean shedsExcess;
  private boolean mismatchesNextAnswer;
  private long firstShedNanos = Long.MAX_VALUE;
  private long busyNanos;

  /** An answer on a connection, with the number of the attempt that it claims to answer. */
  record Answer(long attempt, long requestNumber, AttemptResult result) {}

  private record Execution(
      long attempt, CallerRequest request, long startedNanos, Consumer<Answer> reply) {}

  FakeUpstream(UpstreamId id, int slots, TimerService timers, InvariantChecker invariantChecker) {
    this.id = id;
    this.slots = slots;
    this.timers = timers;
    this.invariantChecker = invariantChecker;
  }

  void receive(long connection, long attempt, CallerRequest request, Consumer<Answer> reply) {
    var execution = new Execution(attempt, request, timers.nowNanos(), reply);
    if (silentConnections.contains(connection)) {
      return;
    }
    if (cancelled.remove(attempt)) {
      answer(execution, new AttemptResult.Refused(RefusalCode.DEADLINE_PASSED));
      return;
    }
    boolean isFull = running.size() + waiting.size() >= currentCapacity();
    if (isFull && shedsExcess) {
      recordShed();
      answer(execution, new AttemptResult.Shed());
      return;
    }
    waiting.add(execution);
    invariantChecker.recordAccepted(id, running.size() + waiting.size(), currentCapacity());
    startNext();
  }

  /**
   * Stops a running attempt and answers it. An attempt that waits is dropped without an answer, and
   * one that has not arrived is refused on arrival.
   */
  AttemptResult cancel(long attempt) {
    var stopped = new AttemptResult.Stopped();
    Execution execution = running.remove(attempt);
    if (execution == null) {
      waiting.removeIf(e -> e.attempt == attempt);
      cancelled.add(attempt);
      return stopped;
    }
    answer(execution, stopped);
    startNext();
    return stopped;
  }

  /**
   * Replaces the process by a cold instance; all requests in flight fail with a lost connection.
   */
  void restart() {
    instance++;
    var lost = new AttemptResult.Failed(RefusalCode.CONNECTION_LOST);
    var executions = ImmutableList.copyOf(Iterables.concat(running.values(), waiting));
    running.clear();
    waiting.clear();
    becomeCold();
    executions.forEach(execution -> answer(execution, lost));
  }

  void becomeColdAndShedExcess() {
    shedsExcess = true;
    becomeCold();
  }

  void slowDown(int factor) {
    slowFactor = factor;
  }

  void silence(long connection) {
    silentConnections.add(connection);
  }

  void mismatchNextAnswer() {
    mismatchesNextAnswer = true;
  }

  UpstreamId id() {
    return id;
  }

  String instance() {
    return id + "-" + instance;
  }

  int inFlight() {
    return running.size() + waiting.size();
  }

  long busyNanos() {
    return busyNanos;
  }

  /** Counts requests that still arrive after the router knows of a shed answer as excess work. */
  private void recordShed() {
    long now = timers.nowNanos();
    firstShedNanos = Math.min(firstShedNanos, now);
    if (now - firstShedNanos > SHED_NOTICE_NANOS) {
      invariantChecker.recordAccepted(id, inFlight() + 1, currentCapacity());
    }
  }

  private void becomeCold() {
    completionsUntilWarm = (slots - 1) * COMPLETIONS_PER_SLOT;
  }

  private int currentCapacity() {
    return slots - Math.ceilDiv(completionsUntilWarm, COMPLETIONS_PER_SLOT);
  }

  private void startNext() {
    while (running.size() < currentCapacity() && !waiting.isEmpty()) {
      start(waiting.remove());
    }
  }

  private void start(Execution execution) {
    invariantChecker.recordRun(execution.request);
    running.put(execution.attempt, execution);
    int factor = completionsUntilWarm > 0 ? COLD_SLOW_FACTOR : slowFactor;
    Duration executionTime = execution.request.executionTime().multipliedBy(factor);
    timers.after(executionTime, () -> finish(execution, executionTime));
  }

  private void finish(Execution execution, Duration executionTime) {
    if (!running.remove(execution.attempt, execution)) {
      return;
    }
    busyNanos += executionTime.toNanos();
    completionsUntilWarm = Math.max(0, completionsUntilWarm - 1);
    answer(execution, new AttemptResult.Answered(executionTime, instance()));
    startNext();
  }

  private void answer(Execution execution, AttemptResult result) {
    long offset = mismatchesNextAnswer ? -1 : 0;
    mismatchesNextAnswer = false;
    execution.reply.accept(
        new Answer(execution.attempt + offset, execution.request.number() + offset, result));
  }
}
