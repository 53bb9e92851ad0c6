package org.catkinlift.tenants;

/**
 * The limit on the requests of a tenant at all daemons together, as a token bucket.
 *
 * @param requestsPerSecond the rate at which tokens are added; greater than 0
 * @param burst the capacity of the bucket, in requests
 */
public record Quota(double requestsPerSecond, double burst) {}
