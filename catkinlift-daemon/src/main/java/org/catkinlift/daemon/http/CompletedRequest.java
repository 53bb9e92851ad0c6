package org.catkinlift.daemon.http;

import java.time.Duration;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.ServiceName;

/**
 * The result of a completed request, for metrics.
 *
 * @param service the service
 * @param outcome the outcome of the request
 * @param latency the time from the arrival of the request to its completion
 * @param attemptCount the number of attempts
 * @param hedged whether the request was hedged
 */
public record CompletedRequest(
    ServiceName service, Outcome outcome, Duration latency, int attemptCount, boolean hedged) {}
