package org.catkinlift.model;

import java.time.Duration;
import java.util.Optional;

/** How a keyed service behaves in an availability zone that is isolated by a network partition. */
public sealed interface CutOffRule {
  /**
   * The default time for which a voter promises not to become coordinator during a platform outage.
   */
  Duration DEFAULT_LONG_PROMISE = Duration.ofMinutes(10);

  /** Other availability zones take over automatically; the isolated one stops the service. */
  record Lapse() implements CutOffRule {}

  /**
   * The isolated availability zone keeps serving; others take over only after an operator declares
   * it lost.
   *
   * @param longPromise the duration of the promises that are requested while the platform is
   *     unreachable
   * @param isolationLimit how long a cell keeps serving without contact with the platform;
   *     unlimited if empty
   */
  record Hold(Duration longPromise, Optional<Duration> isolationLimit) implements CutOffRule {}

  /**
   * Returns the rule under which other availability zones take over automatically.
   *
   * @return the rule
   */
  static CutOffRule lapse() {
    return new Lapse();
  }

  /**
   * Returns the rule under which an isolated availability zone keeps serving, with default times.
   *
   * @return the rule
   */
  static CutOffRule hold() {
    return new Hold(DEFAULT_LONG_PROMISE, Optional.empty());
  }
}
