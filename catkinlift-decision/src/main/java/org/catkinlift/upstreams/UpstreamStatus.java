package org.catkinlift.upstreams;

/** Whether an upstream may get new work. */
public sealed interface UpstreamStatus {

  /** The upstream is in service. */
  record InService() implements UpstreamStatus {}

  /**
   * The upstream drains, has left the store's list, or lies in an availability zone that operators
   * have taken out.
   *
   * @param sinceNanos when this daemon learned it
   * @param cause why
   */
  record Leaving(long sinceNanos, Cause cause) implements UpstreamStatus {}

  /** Why an upstream leaves. */
  enum Cause {
    /** It said so. */
    DRAINING,
    /** It is no longer listed. */
    UNLISTED,
    /** Operators have taken its availability zone out. */
    ZONE_OUT_OF_SERVICE
  }
}
