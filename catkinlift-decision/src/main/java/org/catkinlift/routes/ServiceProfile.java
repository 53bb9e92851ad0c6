package org.catkinlift.routes;

import java.time.Duration;
import org.catkinlift.model.ServiceName;

/**
 * The properties of a service in the operators' configuration.
 *
 * @param name the service
 * @param healthPath the path of the health check of its upstreams
 * @param maxConnections the number of connections that one upstream accepts from all daemons
 *     together
 * @param coldRequestsPerSecond the requests per second that a cold upstream can handle from all
 *     daemons together
 * @param keyed whether upstreams own ranges of keys
 * @param warmUp how long requests for a key are slow after an upstream received the key without a
 *     handover
 */
public record ServiceProfile(
    ServiceName name,
    String healthPath,
    int maxConnections,
    double coldRequestsPerSecond,
    boolean keyed,
    Duration warmUp) {}
