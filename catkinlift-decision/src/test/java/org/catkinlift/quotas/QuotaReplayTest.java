package org.catkinlift.quotas;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.catkinlift.quotas.QuotaSite.Scheme;
import org.catkinlift.quotas.QuotaSite.TenantLoad;
import org.catkinlift.tenants.Quota;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Replays the load of a large deployment and its failures, and checks the bound of the
 * specification in every window over all hosts.
 */
final class QuotaReplayTest {
  private static final int HOSTS = 87;
  private static final int TENANTS = 24;
  private static final int LARGE_TENANTS = 3;
  private static final double LARGE_RATE = 200;

  /** The part of its rate that a tenant uses. */
  private static final double USUAL_LOAD = 0.6;

  private static final double END_SECONDS = 40;
  private static final double WARM_UP_SECONDS = 12;

  /** Few hosts, as if a tenant had few callers, and most of them. */
  private static final int FEW_ENTRY_HOSTS = 3;

  private static final int MANY_ENTRY_HOSTS = 40;

  private final List<TenantLoad> tenants = new ArrayList<>();

  /** What happens to the deployment while the load runs. */
  enum Failure {
    NONE,
    HOST_DIES,
    HOST_RESTARTS,
    ZONE_CUT_OFF,
    COORDINATOR_CHANGES,
    COORDINATOR_DIES,
    HOSTS_SUSPENDED,
    ALL_RESTART
  }

  private QuotaSite site(Scheme scheme, int entryHosts, Failure failure) {
    var site = new QuotaSite(scheme, HOSTS, 0.01, 7);
    for (int i = 0; i < TENANTS; i++) {
      double rate = i < LARGE_TENANTS ? LARGE_RATE : 5 + 2 * i;
      double peak = 3 + i % 6;
      boolean isBursting = isBursting(i);
      tenants.add(
          site.addTenant(
              "tenant-" + i,
              new Quota(rate, rate),
              entryHosts,
              s -> USUAL_LOAD * rate * (isBursting && s >= 20 && s < 27 ? peak : 1)));
    }
    site.at(WARM_UP_SECONDS, () -> tenants.forEach(TenantLoad::startCounting));
    schedule(site, failure);
    return site;
  }

  private static boolean isBursting(int tenant) {
    return tenant % 4 == 0;
  }

  private static void schedule(QuotaSite site, Failure failure) {
    switch (failure) {
      case NONE -> {}
      case HOST_DIES -> site.at(18, () -> site.kill(11));
      case HOST_RESTARTS -> {
        site.at(21, () -> site.kill(11));
        site.at(22, () -> site.restart(11));
      }
      case ZONE_CUT_OFF -> {
        site.at(18, () -> site.cutOffZone(1));
        site.at(23.5, site::healPartition);
      }
      case COORDINATOR_CHANGES -> site.at(21, () -> site.setCoordinator(5));
      case COORDINATOR_DIES -> {
        site.at(21, () -> site.kill(0));
        site.at(23.2, () -> site.setCoordinator(5));
      }
      case HOSTS_SUSPENDED -> {
        for (int i = 1; i < HOSTS / 3; i++) {
          int host = i;
          site.at(19, () -> site.suspend(host));
          site.at(22, () -> site.resume(host));
        }
      }
      case ALL_RESTART -> {
        for (int i = 0; i < HOSTS; i++) {
          int host = i;
          site.at(21, () -> site.kill(host));
          site.at(22.3, () -> site.restart(host));
        }
        site.at(23.2, () -> site.setCoordinator(5));
      }
    }
  }

  private void checkBound() {
    for (TenantLoad tenant : tenants) {
      assertWithMessage("requests of %s in a window", tenant.tenant().name())
          .that((double) tenant.mostInWindow(0))
          .isAtMost(tenant.allowedInWindow());
    }
  }

  private List<TenantLoad> tenantsBelowQuota() {
    List<TenantLoad> below = new ArrayList<>();
    for (int i = 0; i < TENANTS; i++) {
      if (!isBursting(i)) {
        below.add(tenants.get(i));
      }
    }
    return below;
  }

  /**
   * Guards against more requests in a window than the quota allows, at any host and in any fault.
   */
  @ParameterizedTest
  @EnumSource(Failure.class)
  void keepsBoundWithFewEntryHosts(Failure failure) {
    site(Scheme.LEASED_SHARES, FEW_ENTRY_HOSTS, failure).run(END_SECONDS);

    checkBound();
  }

  /** The shares are then too small for a whole request at each host, and must be moved. */
  @ParameterizedTest
  @EnumSource(Failure.class)
  void keepsBoundWithManyEntryHosts(Failure failure) {
    site(Scheme.LEASED_SHARES, MANY_ENTRY_HOSTS, failure).run(END_SECONDS);

    checkBound();
  }

  private void checkTenantsBelowQuota() {
    for (TenantLoad tenant : tenantsBelowQuota()) {
      assertWithMessage("refused requests of %s", tenant.tenant().name())
          .that(tenant.refusedBelowQuota())
          .isEqualTo(0);
    }
  }

  /** Guards against refusals of tenants that keep to their quota while others do not. */
  @Test
  void servesTenantsBelowTheirQuotaWithFewEntryHosts() {
    site(Scheme.LEASED_SHARES, FEW_ENTRY_HOSTS, Failure.NONE).run(END_SECONDS);

    checkTenantsBelowQuota();
  }

  /** The same, while a host dies or restarts; its callers go to hosts that have shares. */
  @ParameterizedTest
  @EnumSource(
      value = Failure.class,
      names = {"HOST_DIES", "HOST_RESTARTS"})
  void servesTenantsBelowTheirQuotaWhenHostFails(Failure failure) {
    site(Scheme.LEASED_SHARES, FEW_ENTRY_HOSTS, failure).run(END_SECONDS);

    checkTenantsBelowQuota();
  }

  /** The same, where most hosts get less than a request in a second of a tenant. */
  @Tag("known-red")
  @Test
  void servesTenantsBelowTheirQuotaWithManyEntryHosts() {
    site(Scheme.LEASED_SHARES, MANY_ENTRY_HOSTS, Failure.NONE).run(END_SECONDS);

    checkTenantsBelowQuota();
  }

  /** A lowered limit must be binding one window after it is in force. */
  @Test
  void lowersLimit() {
    QuotaSite site = site(Scheme.LEASED_SHARES, MANY_ENTRY_HOSTS, Failure.NONE);
    TenantLoad tenant = tenants.get(0);
    site.at(24, () -> tenant.setQuota(new Quota(LARGE_RATE / 10, LARGE_RATE / 10)));
    site.run(END_SECONDS);

    assertThat((double) tenant.mostInWindow(24)).isAtMost(tenant.allowedInWindow());
  }

  private int refused(Scheme scheme, Failure failure) {
    tenants.clear();
    site(scheme, FEW_ENTRY_HOSTS, failure).run(END_SECONDS);
    return tenantsBelowQuota().stream().mapToInt(TenantLoad::refusedBelowQuota).sum();
  }

  /** The reason why shares are leased: a zone that is cut off goes on with what it has. */
  @Test
  void servesCutOffZoneBetterThanTheAlternatives() {
    int refusedWithShares = refused(Scheme.LEASED_SHARES, Failure.ZONE_CUT_OFF);

    assertThat(refusedWithShares).isLessThan(refused(Scheme.HOME_HOST, Failure.ZONE_CUT_OFF));
    assertThat(refusedWithShares).isLessThan(refused(Scheme.ONE_BUCKET, Failure.ZONE_CUT_OFF));
  }
}
