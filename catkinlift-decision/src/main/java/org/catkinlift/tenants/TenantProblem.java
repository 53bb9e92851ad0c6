package org.catkinlift.tenants;

/**
 * An invalid entry of the tenants in a configuration, which was skipped or clamped.
 *
 * @param tenant the name of the tenant, or the position of an entry without a valid name
 * @param reason what is wrong; never contains an API key
 */
public record TenantProblem(String tenant, String reason) {}
