package org.catkinlift.standin.load;

import java.time.Duration;
import org.catkinlift.standin.upstream.Task;

/**
 * A request that the load tool sends.
 *
 * @param number counts the requests of a run, from 0
 * @param id the request id
 * @param task what it asks for
 * @param offset when it is sent, from the start of the run
 */
public record PlannedRequest(long number, String id, Task task, Duration offset) {}
