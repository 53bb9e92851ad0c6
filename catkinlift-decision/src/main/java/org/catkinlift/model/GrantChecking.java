package org.catkinlift.model;

import java.time.Duration;

/** States whether the upstreams of a service check grants. */
public sealed interface GrantChecking {
  /** Upstreams refuse requests whose epoch they were not granted. */
  record Checked() implements GrantChecking {}

  /**
   * Upstreams execute whatever they receive, so the router alone protects ownership.
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
