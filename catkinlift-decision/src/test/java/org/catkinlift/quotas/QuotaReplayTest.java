package org.catkinlift.quotas;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.catkinlift.quotas.QuotaSite.TenantLoad;
import org.catkinlift.tenants.Quota;
import org.junit.jupiter.api.Test;

/** Trial. */
final class QuotaReplayTest {
  private static final int HOSTS = 87;
  private static final int TENANTS = 20;
  private final List<TenantLoad> tenants = new ArrayList<>();

  private QuotaSite site(int entryHosts) {
    var site = new QuotaSite(HOSTS, 0.01, 7);
    for (int i = 0; i < TENANTS; i++) {
      double rate = i < 3 ? 200 : 5 + 2 * i;
      int number = i;
      tenants.add(
          site.addTenant(
              "t-" + i,
              new Quota(rate, rate),
              entryHosts,
              s -> 0.6 * rate * (number % 4 == 0 && s >= 20 && s < 27 ? 5 : 1)));
    }
    return site;
  }

  private void print(String name) {
    int offered = 0;
    int refused = 0;
    double worst = 0;
    for (TenantLoad t : tenants) {
      offered += t.offeredBelowQuota();
      refused += t.refusedBelowQuota();
      worst = Math.max(worst, t.mostInWindow(0) / t.allowedInWindow());
    }
    StringBuilder b = new StringBuilder();
    for (TenantLoad t : tenants) {
      b.append(" ").append(t.refusedBelowQuota()).append('/').append(t.offeredBelowQuota());
    }
    System.out.printf(
        "%s offered %d refused %d worst %.3f%n %s%n", name, offered, refused, worst, b);
  }

  @Test
  void trial() {
    for (int entry : new int[] {3, 10, 40, 87}) {
      for (int fault = 0; fault < 5; fault++) {
        tenants.clear();
        QuotaSite site = site(entry);
        site.at(12.0, () -> tenants.forEach(TenantLoad::startCounting));
        switch (fault) {
          case 1 -> {
            site.at(15.0, () -> site.cutOffZone(1));
            site.at(20.5, site::healPartition);
          }
          case 2 -> {
            site.at(15.0, () -> site.kill(0));
            site.at(17.2, () -> site.setCoordinator(5));
          }
          case 3 -> {
            for (int i = 1; i < 30; i++) {
              int h = i;
              site.at(15.0, () -> site.suspend(h));
              site.at(19.0, () -> site.resume(h));
            }
          }
          case 4 -> {
            for (int i = 0; i < 87; i++) {
              int h = i;
              site.at(15.0, () -> site.kill(h));
              site.at(16.5, () -> site.restart(h));
            }
            site.at(17.0, () -> site.setCoordinator(5));
          }
          default -> {}
        }
        site.run(40);
        print("entry " + entry + " fault " + fault);
      }
    }
    assertThat(tenants).isNotEmpty();
  }
}
