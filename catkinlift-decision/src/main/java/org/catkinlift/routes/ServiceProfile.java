package org.catkinlift.routes;

import java.time.Duration;
import org.catkinlift.model.ServiceName;

/**
 * What operators state about a service.
 *
 * @param name the service
 * @param healthPath the path of the health check of its upstreams
 * @param maxConnections the connections that one upstream accepts from all daemons together
 * @param coldRequestsPerSecond the requests/s that a cold upstream bears from all daemons together
 * @param keyed whether upstreams own ranges of keys
 * @param warmUp how long keys are slow at an upstream that got them without a handover
 */
public record ServiceProfile(
    ServiceName name,
    String healthPath,
    int maxConnections,
    double coldRequestsPerSecond,
    boolean keyed,
    Duration warmUp) {}
