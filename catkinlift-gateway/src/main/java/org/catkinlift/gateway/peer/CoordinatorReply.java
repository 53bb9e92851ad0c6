package org.catkinlift.gateway.peer;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.gateway.store.ObservedVersions;
import org.catkinlift.gateway.store.RowChange;
import org.catkinlift.model.HostId;
import org.catkinlift.model.TenantName;
import org.catkinlift.shares.ShareGrant;

/**
 * The reply to a {@link LoadReport}.
 *
 * @param host the host that replies
 * @param isCoordinator whether it holds the coordinator role
 * @param leaseVersion the version of the lease row that it saw or wrote last
 * @param daemonCount the number of live daemons, including the one that replies
 * @param maxCpuCapacity the CPU capacity of the strongest host, in cores
 * @param observedVersions the versions of the store that it has observed
 * @param shares the shares of requests that overloaded upstreams admit
 * @param relaysUpdates whether the reporting daemon may stop polling the store, because this host
 *     relays its changes
 * @param storeConfirmed whether the store responded to this host recently
 * @param gracePeriod the remaining time in which unlisted upstreams are kept in service, because
 *     they may register again
 * @param changes the changes of the store that the reporting daemon has not observed
 * @param quotaShares the grant of shares of tenants' quotas to the reporting daemon
 */
public record CoordinatorReply(
    HostId host,
    boolean isCoordinator,
    long leaseVersion,
    int daemonCount,
    double maxCpuCapacity,
    ObservedVersions observedVersions,
    AdmissionShares shares,
    boolean relaysUpdates,
    boolean storeConfirmed,
    Duration gracePeriod,
    ImmutableList<RowChange> changes,
    ShareGrant<TenantName> quotaShares) {

  /**
   * Creates a reply to a daemon without shares of quotas.
   *
   * @param host the host that replies
   * @param isCoordinator whether it holds the coordinator role
   * @param leaseVersion the version of the lease row that it saw or wrote last
   * @param daemonCount the number of live daemons, including the one that replies
   * @param maxCpuCapacity the CPU capacity of the strongest host, in cores
   * @param observedVersions the versions of the store that it has observed
   * @param shares the shares of requests that overloaded upstreams admit
   * @param relaysUpdates whether the reporting daemon may stop polling the store
   * @param storeConfirmed whether the store responded to this host recently
   * @param gracePeriod the remaining time in which unlisted upstreams are kept in service
   * @param changes the changes of the store that the reporting daemon has not observed
   */
  public CoordinatorReply(
      HostId host,
      boolean isCoordinator,
      long leaseVersion,
      int daemonCount,
      double maxCpuCapacity,
      ObservedVersions observedVersions,
      AdmissionShares shares,
      boolean relaysUpdates,
      boolean storeConfirmed,
      Duration gracePeriod,
      ImmutableList<RowChange> changes) {
    this(
        host,
        isCoordinator,
        leaseVersion,
        daemonCount,
        maxCpuCapacity,
        observedVersions,
        shares,
        relaysUpdates,
        storeConfirmed,
        gracePeriod,
        changes,
        ShareGrant.none());
  }

  /**
   * Returns a copy of this reply with shares of quotas.
   *
   * @param newShares the grant for the reporting daemon
   * @return the reply
   */
  public CoordinatorReply withQuotaShares(ShareGrant<TenantName> newShares) {
    return new CoordinatorReply(
        host,
        isCoordinator,
        leaseVersion,
        daemonCount,
        maxCpuCapacity,
        observedVersions,
        shares,
        relaysUpdates,
        storeConfirmed,
        gracePeriod,
        changes,
        newShares);
  }
}
