package org.catkinlift.bench.ownership;

import java.time.Duration;
import org.catkinlift.bench.Site;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.ServiceKind;

/** Builds the keyed service of a site, come into service. */
final class SiteWorlds {
  private static final int HOSTS_PER_ZONE = 3;
  private static final int SLOTS = 1_024;
  private static final Duration START = Duration.ofSeconds(10);

  private SiteWorlds() {}

  static OwnershipWorld of(Site site, CutOffRule rule) {
    var kind = new ServiceKind.Keyed(SLOTS, rule, GrantChecking.checked());
    OwnershipWorld world =
        OwnershipWorlds.of(
            kind, site.zones(), HOSTS_PER_ZONE, site.keyedUpstreams(), site.concurrencyLimit());
    world.advance(START);
    return world;
  }
}
