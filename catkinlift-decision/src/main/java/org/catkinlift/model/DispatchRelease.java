package org.catkinlift.model;

import java.time.Duration;

/**
 * States that a dispatcher has stopped for good under one dispatch lease, and what it left behind.
 *
 * <p>The numbers include the requests of dispatchers before it. Later releases of the same lease
 * only have lower numbers, so that any of them is a bound and the lowest is the best.
 *
 * @param epoch the epoch of the lease, which is not given again
 * @param running the requests that the upstream may be executing or may still start
 * @param startsWithin the time after which none of them starts any more
 * @param endsWithin the time after which all of them have passed their deadline
 */
public record DispatchRelease(
    Epoch epoch, int running, Duration startsWithin, Duration endsWithin) {}
