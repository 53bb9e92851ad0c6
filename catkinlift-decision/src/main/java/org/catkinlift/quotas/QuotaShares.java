package org.catkinlift.quotas;

import org.catkinlift.model.TenantName;
import org.catkinlift.shares.ShareGrant;

/**
 * A coordinator's grant of shares of the tenants' quotas to one host.
 *
 * @param grant the grant
 * @param reportedNanos when the host sent the report that the grant answers; its lease counts from
 *     then
 */
public record QuotaShares(ShareGrant<TenantName> grant, long reportedNanos) {}
