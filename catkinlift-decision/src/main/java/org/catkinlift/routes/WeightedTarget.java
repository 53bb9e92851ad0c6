package org.catkinlift.routes;

import org.catkinlift.model.ServiceName;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service the service
 * @param weight its share relative to the other targets of the route; positive
 */
public record WeightedTarget(ServiceName service, double weight) {}
