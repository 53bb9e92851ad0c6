package org.catkinlift.bench.traffic;

import java.time.Duration;
import org.catkinlift.model.RequestDescription;

/**
 * A request of a fake caller.
 *
 * @param number identifies the request in the records, even if two callers use one request id
 * @param description what the router sees
 * @param executionTime how long a healthy upstream takes
 */
record CallerRequest(long number, RequestDescription description, Duration executionTime) {}
