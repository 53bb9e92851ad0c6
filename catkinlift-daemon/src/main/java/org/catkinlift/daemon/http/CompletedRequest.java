package org.catkinlift.daemon.http;

import java.time.Duration;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.ServiceName;

/**
 * States how a request ended, for metrics.
 *
 * @param service the service
 * @param outcome how it ended
 * @param latency the time from its receipt to its end
 * @param attemptCount the attempts that were made
 * @param hedged whether a second upstream was asked
 */
public record CompletedRequest(
    ServiceName service, Outcome outcome, Duration latency, int attemptCount, boolean hedged) {}
