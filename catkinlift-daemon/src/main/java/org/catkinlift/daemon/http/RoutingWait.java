package org.catkinlift.daemon.http;

import io.vertx.core.Context;
import java.time.Duration;

/**
 * Waits for a new routing state, which may name a new owner or dispatcher. The waits of one request
 * together last at most as long as the limit of the first one. Confined to one event loop.
 */
final class RoutingWait {
  /**
   * Routes again at this interval without a new state, because a dispatcher may get its lease after
   * the state is published.
   */
  private static final long RECHECK_INTERVAL_MILLIS = 50;

  private final ExchangeServices services;
  private final Context context;
  private final Runnable onChange;
  private long endNanos;
  private long timer;
  private boolean waiting;
  private boolean listening;

  /**
   * Creates the wait for one request.
   *
   * @param services provides the routing state and timers
   * @param onChange called on the event loop after each change, and after each recheck interval
   *     without a change
   */
  RoutingWait(ExchangeServices services, Runnable onChange) {
    this.services = services;
    this.context = services.vertx().getOrCreateContext();
    this.onChange = onChange;
  }

  /**
   * Waits for the next change.
   *
   * @param limit the total time that the request may wait, from the first call
   * @return false if that time has passed
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

  /** Registers at most one listener, however often the timer fires before a change. */
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
