package org.catkinlift.model;

import java.time.Duration;

/**
 * Makes one daemon the only dispatcher of an upstream for a limited time.
 *
 * @param upstream the upstream
 * @param holder the daemon that may send requests to it
 * @param epoch orders the leases of this upstream
 * @param remaining the time that remains, counted by the receiver from the moment at which it asked
 *     for or last confirmed the lease
 */
public record DispatchLease(UpstreamId upstream, HostId holder, Epoch epoch, Duration remaining) {}
