package org.catkinlift.configuration;

import java.time.Duration;
import java.util.Optional;

/** Records when a platform read last confirmed this daemon's configuration. */
final class ConfirmedTime {
  private Optional<Long> confirmedNanos = Optional.empty();

  void confirm(long atNanos) {
    confirmedNanos = Optional.of(Math.max(atNanos, confirmedNanos.orElse(Long.MIN_VALUE)));
  }

  Optional<Duration> age(long nowNanos) {
    return confirmedNanos.map(c -> Duration.ofNanos(nowNanos - c));
  }
}
