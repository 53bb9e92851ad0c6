package org.catkinlift.model;

import java.time.Duration;
import java.util.Optional;

/**
 * A time-limited lease under which one daemon is the only dispatcher of an upstream.
 *
 * @param upstream the upstream
 * @param holder the daemon that may send requests to it
 * @param epoch the epoch, which orders the leases of this upstream
 * @param remaining the remaining validity, which the receiver counts from the moment at which it
 *     requested or last confirmed the lease
 * @param priorRelease the release that states which requests all previous dispatchers left at the
 *     upstream; empty if unknown
 */
public record DispatchLease(
    UpstreamId upstream,
    HostId holder,
    Epoch epoch,
    Duration remaining,
    Optional<DispatchRelease> priorRelease) {
  /**
   * Creates a lease without information about previous dispatchers.
   *
   * @param upstream the upstream
   * @param holder the daemon that may send requests to it
   * @param epoch the epoch, which orders the leases of this upstream
   * @param remaining the remaining validity
   */
  public DispatchLease(UpstreamId upstream, HostId holder, Epoch epoch, Duration remaining) {
    this(upstream, holder, epoch, remaining, Optional.empty());
  }
}
