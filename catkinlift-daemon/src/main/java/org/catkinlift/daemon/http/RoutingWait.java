package org.catkinlift.daemon.http;

import io.vertx.core.Context;
import java.time.Duration;

/**
 * Waits for a routing state that shows a new owner or dispatcher, in all at most once for the limit
 * of the first wait. Confined to one event loop.
 */
final class RoutingWait {
  /** A dispatcher that gets its lease late is asked again without a new state. */
  private static final long RECHECK_INTERVAL_MILLIS = 50;

  private final ExchangeServices services;
  private final Context context;
  private final Runnable onChange;
  private long endNanos;
  private long timer;
  private boolean waiting;
  private boolean listening;

  /**
   * Creates the wait of one request.
   *
   * @param services shows the routing state and runs timers
   * @param onChange called on the event loop after each change, or now and then without one
   */
  RoutingWait(ExchangeServices services, Runnable onChange) {
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
    waiting = true;
    listen();
    long millis = Duration.ofNanos(endNanos - now).toMillis() + 1;
    timer =
        services
            .vertx()
            .setTimer(Math.min(millis, RECHECK_INTERVAL_MILLIS), t -> continueIfWaiting());
    return true;
  }

  /** At most one listener is registered, however often the timer ends before a change. */
  private void listen() {
    if (listening) {
      return;
    }
    listening = true;
    services.routingState().onNextChange(() -> context.runOnContext(v -> changed()));
  }

  private void changed() {
    listening = false;
    continueIfWaiting();
  }

  private void continueIfWaiting() {
    if (!waiting) {
      return;
    }
    waiting = false;
    services.vertx().cancelTimer(timer);
    onChange.run();
  }
}
