package org.catkinlift.daemon.http;

import io.vertx.core.Context;
import java.time.Duration;

/**
 * Waits for a routing state that shows a new owner or dispatcher, in all at most once for the limit
 * of the first wait. Confined to one event loop.
 */
final class RoutingWait {
  /** A dispatcher that gets its lease late is asked again without a new state. */
  private static final long MAX_WAIT_MILLIS = 50;

  private final EntryServices services;
  private final Context context;
  private final Runnable onChange;
  private long endNanos;

  /**
   * Creates the wait of one request.
   *
   * @param services shows the routing state and runs timers
   * @param onChange called on the event loop after each change, or now and then without one
   */
  RoutingWait(EntryServices services, Runnable onChange) {
    this.services = services;
    this.context = services.vertx().getOrCreateContext();
    this.onChange = onChange;
  }

  /**
   * Waits for the next change.
   *
   * @param limit how long the request may wait in all; counts from the first call
   * @return false if that time is over
   */
  boolean await(Duration limit) {
    long now = System.nanoTime();
    if (endNanos == 0) {
      endNanos = now + limit.toNanos();
    }
    if (now >= endNanos) {
      return false;
    }
    var once = new Once(onChange);
    services.states().onNextChange(() -> context.runOnContext(v -> once.run()));
    long millis = Duration.ofNanos(endNanos - now).toMillis() + 1;
    var unused = services.vertx().setTimer(Math.min(millis, MAX_WAIT_MILLIS), t -> once.run());
    return true;
  }

  /** Runs a task at most once; the first of two triggers counts. */
  private static final class Once {
    private final Runnable task;
    private boolean done;

    private Once(Runnable task) {
      this.task = task;
    }

    private void run() {
      if (!done) {
        done = true;
        task.run();
      }
    }
  }
}
