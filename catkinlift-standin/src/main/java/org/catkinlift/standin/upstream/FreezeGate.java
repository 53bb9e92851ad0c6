package org.catkinlift.standin.upstream;

import java.util.ArrayDeque;
import java.util.Queue;

/** Holds back everything that a paused process would do. Confined to the event loop. */
final class FreezeGate {

  private final Queue<Runnable> deferred = new ArrayDeque<>();
  private boolean frozen;

  /** Runs something now, or when the process resumes. */
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

  /** Runs what was held back, in order. */
  void resume() {
    frozen = false;
    while (!frozen && !deferred.isEmpty()) {
      deferred.remove().run();
    }
  }

  /** Forgets what was held back, because the process ended. */
  void clear() {
    deferred.clear();
  }
}
