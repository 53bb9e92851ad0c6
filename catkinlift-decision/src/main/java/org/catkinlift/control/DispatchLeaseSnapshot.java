package org.catkinlift.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.UpstreamId;

/**
 * The upstreams that a daemon dispatches to, and those that it no longer dispatches to.
 *
 * @param held the current leases
 * @param revoked the epochs of the leases that the coordinator has taken back, by upstream; they
 *     are not given again, unlike leases that have run out
 * @param atNanos the time from which the remaining times of the leases count
 */
public record DispatchLeaseSnapshot(
    ImmutableList<DispatchLease> held, ImmutableMap<UpstreamId, Epoch> revoked, long atNanos) {}
