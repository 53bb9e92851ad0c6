package org.catkinlift.standin.load;

import java.time.Duration;
import org.catkinlift.standin.upstream.Task;

/**
 * A request scheduled by the load generator.
 *
 * @param number the sequence number of the request within the run, starting at 0
 * @param id the request id
 * @param task the requested operation
 * @param offset the scheduled send time, relative to the start of the run
 */
public record PlannedRequest(long number, String id, Task task, Duration offset) {}
