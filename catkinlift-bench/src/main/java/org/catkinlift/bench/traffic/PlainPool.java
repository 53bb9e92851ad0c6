package org.catkinlift.bench.traffic;

import java.util.ArrayDeque;
import java.util.Deque;

/** Lets a fixed number of requests through at once; the others wait in an unbounded queue. */
final class PlainPool {
  private final int size;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private int inside;

  PlainPool(int size) {
    this.size = size;
  }

  void enter(Runnable send) {
    waiting.add(send);
    admit();
  }

  void leave() {
    inside--;
    admit();
  }

  private void admit() {
    while (inside < size && !waiting.isEmpty()) {
      inside++;
      waiting.remove().run();
    }
  }
}
