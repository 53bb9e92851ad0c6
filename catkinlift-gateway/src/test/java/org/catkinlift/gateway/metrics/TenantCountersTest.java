package org.catkinlift.gateway.metrics;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.catkinlift.model.TenantName;
import org.junit.jupiter.api.Test;

/** Guards against a number of counters that grows with the number of tenants. */
final class TenantCountersTest {
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final TenantCounters counters = new TenantCounters(metrics);

  private void refuse(String tenant, int requests) {
    for (int i = 0; i < requests; i++) {
      counters.requestEnded(Optional.of(TenantName.of(tenant)), 429);
    }
  }

  @Test
  void onlyLargestTenantsHaveCounters() {
    refuse("large", 2_000);
    for (int i = 0; i < 1_000; i++) {
      refuse("small-" + i, 1);
    }
    counters.requestEnded(Optional.empty(), 401);

    String text = metrics.render();
    assertThat(text.lines().count()).isAtMost(2L * TenantCounters.MAX_TENANTS + 3);
    assertThat(text).contains("tenant_refusals.large.429 2000\n");
    assertThat(text).contains("tenant_requests._other " + (1_001 - TenantCounters.MAX_TENANTS));
    assertThat(text).contains("tenant_refusals._none.401 1\n");
  }
}
