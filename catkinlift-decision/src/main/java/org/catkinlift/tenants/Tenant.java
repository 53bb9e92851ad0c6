package org.catkinlift.tenants;

import java.util.Optional;
import java.util.OptionalInt;
import org.catkinlift.model.TenantName;

/**
 * A customer whose requests are identified by API keys.
 *
 * @param name the name
 * @param priority the rank, which takes precedence over that of a route; 0 is the highest
 * @param quota the limit on its requests; empty if there is none
 */
public record Tenant(TenantName name, OptionalInt priority, Optional<Quota> quota) {}
