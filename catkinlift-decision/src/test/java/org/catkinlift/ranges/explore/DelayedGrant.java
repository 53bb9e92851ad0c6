package org.catkinlift.ranges.explore;

import org.catkinlift.ranges.RangeAction;

/**
 * A grant without an answer that an upstream has not applied yet.
 *
 * @param upstream the index of the upstream
 * @param grant the grant
 * @param expiryNanos the end of its hold, counted from its arrival
 */
record DelayedGrant(int upstream, RangeAction.Grant grant, long expiryNanos) {}
