package org.catkinlift.bench.traffic;

import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the number of requests in flight; excess requests wait in an unbounded queue. */
final class ConcurrencyLimiter {
  private final int limit;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private int inFlight;

  ConcurrencyLimiter(int limit) {
    this.limit = limit;
  }

  void submit(Runnable task) {
    waiting.add(task);
    startWaiting();
  }

  void release() {
    inFlight--;
    startWaiting();
  }

  private void startWaiting() {
    while (inFlight < limit && !waiting.isEmpty()) {
      inFlight++;
      waiting.remove().run();
    }
  }
}
