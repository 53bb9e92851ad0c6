package org.catkinlift.model;

import java.time.Duration;

/**
 * A dispatcher's statement that it sends no more requests under a dispatch lease, with the requests
 * that it leaves at the upstream.
 *
 * <p>The values include the requests of previous dispatchers. Later releases of the same lease have
 * only lower values, so each one is an upper bound and the lowest is the tightest.
 *
 * @param epoch the epoch of the lease, which is never granted again
 * @param running the number of requests that the upstream may be executing or may still start
 * @param startsWithin the time after which none of them can start any more
 * @param endsWithin the time after which all of them have passed their deadline
 */
public record DispatchRelease(
    Epoch epoch, int running, Duration startsWithin, Duration endsWithin) {}
