package org.catkinlift.admission.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiConsumer;
import org.catkinlift.admission.ReportedLoad;

/**
 * An upstream with slots and a short FIFO queue. It resets the connection of a request that finds
 * the queue full, and drops requests whose deadline has passed.
 */
final class SimulatedUpstream {
  /** The service time of a cold upstream divided by the normal one. */
  static final double COLD_SLOWDOWN = 2.6;

  private final VirtualTime time;
  private final int slots;
  private final int queueCapacity;
  private final double slowdown;
  private final SimulatedNoise noise;
  private final Deque<QueuedRequest> queue = new ArrayDeque<>();
  private long coldUntilNanos;
  private int running;
  private int answered;
  private final List<Long> arrivals = new ArrayList<>();

  private record QueuedRequest(SimulatedRequest request, BiConsumer<Outcome, ReportedLoad> done) {}

  /** The outcome of a request at the upstream. */
  enum Outcome {
    ANSWERED,
    RESET,
    TOO_LATE
  }

  SimulatedUpstream(VirtualTime time, int slots, int queueCapacity, double slowdown) {
    this(time, slots, queueCapacity, slowdown, SimulatedNoise.NONE);
  }

  SimulatedUpstream(
      VirtualTime time, int slots, int queueCapacity, double slowdown, SimulatedNoise noise) {
    this.time = time;
    this.slots = slots;
    this.queueCapacity = queueCapacity;
    this.slowdown = slowdown;
    this.noise = noise;
  }

  /** Makes the upstream slow until the given time. */
  void markCold(long untilNanos) {
    coldUntilNanos = untilNanos;
  }

  /** Returns the number of requests that arrived before the given time. */
  int arrivedBefore(long nanos) {
    return (int) arrivals.stream().filter(a -> a < nanos).count();
  }

  int answered() {
    return answered;
  }

  int slots() {
    return slots;
  }

  void send(SimulatedRequest request, BiConsumer<Outcome, ReportedLoad> done) {
    arrivals.add(time.now());
    if (queue.size() >= queueCapacity) {
      done.accept(Outcome.RESET, load());
      return;
    }
    queue.add(new QueuedRequest(request, done));
    startNext();
  }

  private ReportedLoad load() {
    return new ReportedLoad(running, queue.size(), slots, noise.slowdown(time.now()));
  }

  private void startNext() {
    while (running < slots && !queue.isEmpty()) {
      QueuedRequest next = queue.poll();
      if (time.now() > next.request().urgency().deadlineNanos()) {
        next.done().accept(Outcome.TOO_LATE, load());
        continue;
      }
      running++;
      double coldFactor = time.now() < coldUntilNanos ? COLD_SLOWDOWN : 1;
      double factor = slowdown * noise.slowdown(time.now()) * coldFactor;
      time.at(time.now() + (long) (next.request().workNanos() * factor), () -> ended(next));
    }
  }

  private void ended(QueuedRequest ended) {
    running--;
    startNext();
    boolean late = time.now() > ended.request().urgency().deadlineNanos();
    answered += late ? 0 : 1;
    ended.done().accept(late ? Outcome.TOO_LATE : Outcome.ANSWERED, load());
  }
}
