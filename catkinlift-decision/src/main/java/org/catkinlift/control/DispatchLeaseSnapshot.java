package org.catkinlift.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.UpstreamId;

/**
 * The dispatch leases of a daemon at one point in time.
 *
 * @param held the current leases
 * @param revoked the epochs of the leases that the coordinator has revoked, by upstream; unlike an
 *     expired lease, a revoked one is not granted again
 * @param atNanos the time from which the remaining times of the leases count
 */
public record DispatchLeaseSnapshot(
    ImmutableList<DispatchLease> held, ImmutableMap<UpstreamId, Epoch> revoked, long atNanos) {}
