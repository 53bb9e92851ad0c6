package org.catkinlift.standin.upstream;

import java.util.ArrayDeque;
import java.util.Queue;

/** Simulates a frozen process by deferring its actions. Confined to the event loop. */
final class FreezeGate {

  private final Queue<Runnable> deferred = new ArrayDeque<>();
  private boolean frozen;

  /** Runs a job now, or on resume if the process is frozen. */
  void runOrDefer(Runnable job) {
    if (frozen) {
      deferred.add(job);
      return;
    }
    job.run();
  }

  void freeze() {
    frozen = true;
  }

  /** Runs the deferred jobs in order; stops if one of them freezes the process again. */
  void resume() {
    frozen = false;
    while (!frozen && !deferred.isEmpty()) {
      deferred.remove().run();
    }
  }

  /** Discards the deferred jobs when the process restarts. */
  void clear() {
    deferred.clear();
  }
}
