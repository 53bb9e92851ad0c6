package org.catkinlift.bench.traffic;

import java.time.Duration;
import org.catkinlift.model.RequestDescription;

/**
 * A request of a fake caller.
 *
 * @param number identifies the request to the invariant checks, even if two callers use the same
 *     request id
 * @param description the properties of the request that routing decisions use
 * @param executionTime the execution time at an upstream that is neither cold nor slowed
 */
record CallerRequest(long number, RequestDescription description, Duration executionTime) {}
