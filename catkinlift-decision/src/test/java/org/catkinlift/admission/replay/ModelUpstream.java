package org.catkinlift.admission.replay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BiConsumer;
import org.catkinlift.admission.ReportedLoad;

/**
 * An upstream with slots and a short queue in order of arrival, which resets the connection of a
 * request that finds the queue full. It drops requests whose time is over.
 */
final class ModelUpstream {
  private final VirtualTime time;
  private final int slots;
  private final int places;
  private final double slowness;
  private final Deque<Waiting> queue = new ArrayDeque<>();
  private int running;

  private record Waiting(ModelRequest request, BiConsumer<Outcome, ReportedLoad> done) {}

  /** How a request ended at the upstream. */
  enum Outcome {
    ANSWERED,
    RESET,
    TOO_LATE
  }

  ModelUpstream(VirtualTime time, int slots, int places, double slowness) {
    this.time = time;
    this.slots = slots;
    this.places = places;
    this.slowness = slowness;
  }

  void send(ModelRequest request, BiConsumer<Outcome, ReportedLoad> done) {
    if (queue.size() >= places) {
      done.accept(Outcome.RESET, load());
      return;
    }
    queue.add(new Waiting(request, done));
    startNext();
  }

  private ReportedLoad load() {
    return new ReportedLoad(running, queue.size(), slots, 1);
  }

  private void startNext() {
    while (running < slots && !queue.isEmpty()) {
      Waiting next = queue.poll();
      if (time.now() > next.request().urgency().expiryNanos()) {
        next.done().accept(Outcome.TOO_LATE, load());
        continue;
      }
      running++;
      time.at(time.now() + (long) (next.request().workNanos() * slowness), () -> ended(next));
    }
  }

  private void ended(Waiting ended) {
    running--;
    startNext();
    boolean late = time.now() > ended.request().urgency().expiryNanos();
    ended.done().accept(late ? Outcome.TOO_LATE : Outcome.ANSWERED, load());
  }
}
