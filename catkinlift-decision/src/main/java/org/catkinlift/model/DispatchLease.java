package org.catkinlift.model;

import java.time.Duration;
import java.util.Optional;

/**
 * Makes one daemon the only dispatcher of an upstream for a limited time.
 *
 * @param upstream the upstream
 * @param holder the daemon that may send requests to it
 * @param epoch orders the leases of this upstream
 * @param remaining the time that remains, counted by the receiver from the moment at which it asked
 *     for or last confirmed the lease
 * @param priorRelease what all earlier dispatchers have left behind; empty if that is not known
 */
public record DispatchLease(
    UpstreamId upstream,
    HostId holder,
    Epoch epoch,
    Duration remaining,
    Optional<DispatchRelease> priorRelease) {
  /**
   * Creates a lease that says nothing about earlier dispatchers.
   *
   * @param upstream the upstream
   * @param holder the daemon that may send requests to it
   * @param epoch orders the leases of this upstream
   * @param remaining the time that remains
   */
  public DispatchLease(UpstreamId upstream, HostId holder, Epoch epoch, Duration remaining) {
    this(upstream, holder, epoch, remaining, Optional.empty());
  }
}
