package org.catkinlift.quotas;

import java.util.Optional;
import java.util.SplittableRandom;
import org.catkinlift.model.HostId;
import org.catkinlift.model.TenantName;
import org.catkinlift.shares.ShareGrant;
import org.catkinlift.shares.ShareLedger;
import org.catkinlift.shares.ShareReport;

/**
 * Shares the quotas of tenants out over the hosts while this daemon holds the coordinator role.
 * Confined to the control thread.
 *
 * <p>Shares are fractions of a quota. Each host applies them to the quota of the configuration that
 * it has in force, so a changed limit is binding without a message from the coordinator.
 */
public final class QuotaShareController {
  /** Keeps the numbers short in messages; two of a deployment are hardly ever equal. */
  private static final long MAX_ISSUER = 1L << 40;

  private final SplittableRandom issuers;
  private Optional<ShareLedger<TenantName>> ledger = Optional.empty();

  /**
   * Creates the controller of a daemon.
   *
   * @param incarnation distinguishes the restarts of all daemons
   */
  public QuotaShareController(long incarnation) {
    this.issuers = new SplittableRandom(incarnation);
  }

  /**
   * Starts to lease shares, because this daemon has taken the coordinator role.
   *
   * @param nowNanos the current time
   */
  public void start(long nowNanos) {
    ledger = Optional.of(new ShareLedger<>(issuers.nextLong(1, MAX_ISSUER), nowNanos));
  }

  /** Stops leasing shares. */
  public void stop() {
    ledger = Optional.empty();
  }

  /**
   * Records a host's report and returns the answer.
   *
   * @param host the host
   * @param report the part of its report about quotas
   * @param nowNanos the current time
   * @return the shares of the host; {@link ShareGrant#none()} without the role
   */
  public ShareGrant<TenantName> reportReceived(
      HostId host, ShareReport<TenantName> report, long nowNanos) {
    return ledger.isEmpty()
        ? ShareGrant.none()
        : ledger.get().reportReceived(host, report, nowNanos);
  }

  /**
   * Returns the number of hosts that may hold shares.
   *
   * @return the number; 0 without the role
   */
  public int holders() {
    return ledger.map(ShareLedger::holders).orElse(0);
  }
}
