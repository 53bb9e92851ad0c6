package org.catkinlift.bench.ownership;

import java.time.Duration;

/** What happens to the releases on their way from a dispatcher to the coordinator. */
sealed interface ReleaseFate {

  /** Each arrives once. */
  record Delivered() implements ReleaseFate {}

  /** None arrives. */
  record Lost() implements ReleaseFate {}

  /** Each arrives so much later. */
  record Late(Duration delay) implements ReleaseFate {}

  /** Each arrives at once and again after so long. */
  record Repeated(Duration after) implements ReleaseFate {}
}
