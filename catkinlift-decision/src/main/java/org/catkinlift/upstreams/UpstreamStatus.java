package org.catkinlift.upstreams;

/** Whether an upstream may receive new work. */
public sealed interface UpstreamStatus {

  /** The upstream is in service. */
  record InService() implements UpstreamStatus {}

  /**
   * The upstream is missing from the list after an outage of the store and may register again; it
   * stays in service for now.
   *
   * @param sinceNanos the time at which this daemon detected it
   */
  record Missing(long sinceNanos) implements UpstreamStatus {}

  /**
   * The upstream is draining, is no longer listed in the store, or is in an availability zone that
   * operators have taken out of service.
   *
   * @param sinceNanos the time at which this daemon detected it
   * @param cause the cause
   */
  record Leaving(long sinceNanos, Cause cause) implements UpstreamStatus {}

  /** The cause for which an upstream leaves. */
  enum Cause {
    /** The upstream reports that it is draining. */
    DRAINING,
    /** The upstream is no longer listed in the store. */
    UNLISTED,
    /** Operators have taken the upstream's availability zone out of service. */
    ZONE_OUT_OF_SERVICE
  }
}
