package org.catkinlift.model;

import java.time.Duration;

/** Whether the upstreams of a service check ownership grants. */
public sealed interface GrantChecking {
  /** Upstreams reject requests that carry an epoch for which they hold no grant. */
  record Checked() implements GrantChecking {}

  /**
   * Upstreams execute every request that they receive, so only the router enforces ownership.
   *
   * @param startBound the time after sending within which an upstream starts a request or drops it
   */
  record Unchecked(Duration startBound) implements GrantChecking {}

  /** The default of {@link Unchecked#startBound}. */
  Duration DEFAULT_START_BOUND = Duration.ofMillis(500);

  /**
   * Returns the behaviour of upstreams that check grants.
   *
   * @return the behaviour
   */
  static GrantChecking checked() {
    return new Checked();
  }

  /**
   * Returns the behaviour of upstreams that do not check grants, with the default start bound.
   *
   * @return the behaviour
   */
  static GrantChecking unchecked() {
    return new Unchecked(DEFAULT_START_BOUND);
  }
}
