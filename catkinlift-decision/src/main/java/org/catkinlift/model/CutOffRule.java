package org.catkinlift.model;

import java.time.Duration;
import java.util.Optional;

/** States what happens to a keyed service in an availability zone that is cut off. */
public sealed interface CutOffRule {
  /** The time for which a voter promises not to take the role during a platform outage. */
  Duration DEFAULT_LONG_PROMISE = Duration.ofMinutes(10);

  /** Others take over by themselves; the cut-off availability zone stops the service. */
  record Lapse() implements CutOffRule {}

  /**
   * The cut-off availability zone goes on; others take over only after an operator declares it
   * lost.
   *
   * @param longPromise the promise asked for while the platform is unreachable
   * @param isolationLimit how long a cell goes on without contact to the platform; no limit if
   *     empty
   */
  record Hold(Duration longPromise, Optional<Duration> isolationLimit) implements CutOffRule {}

  /**
   * Returns the rule that takes over without an operator.
   *
   * @return the rule
   */
  static CutOffRule lapse() {
    return new Lapse();
  }

  /**
   * Returns the rule that goes on in a cut-off availability zone, with default times.
   *
   * @return the rule
   */
  static CutOffRule hold() {
    return new Hold(DEFAULT_LONG_PROMISE, Optional.empty());
  }
}
