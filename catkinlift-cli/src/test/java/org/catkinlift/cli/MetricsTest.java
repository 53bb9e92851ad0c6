package org.catkinlift.cli;

import org.catkinlift.model.HostId;
import org.junit.jupiter.api.Test;

/** Guards against metrics that a daemon declares but never updates. */
final class MetricsTest {
  private static final HostId FIRST = HostId.of("suva-1");
  private static final HostId SECOND = HostId.of("suva-2");
  private static final int UPSTREAMS = 4;

  /** Returns the sum of all series of a metric at one daemon. */
  private static double sumOfSeries(TestSite site, HostId daemon, String metric) {
    return site.metrics(daemon).stream()
        .filter(l -> l.startsWith(metric))
        .mapToDouble(l -> Double.parseDouble(l.substring(l.lastIndexOf(' ') + 1)))
        .sum();
  }

  private static long countUpstreamSeries(TestSite site, HostId daemon) {
    return site.metrics(daemon).stream()
        .filter(l -> l.startsWith("catkinlift_upstream_queued{"))
        .count();
  }

  @Test
  void endpointShowsAuthorityConfigurationRelaysAndUpstreams() throws Exception {
    try (TestSite site = TestSite.start("suva")) {
      site.awaitServing();

      site.awaitUntil(
          () -> "one daemon has authority",
          () -> authority(site, FIRST) + authority(site, SECOND) == 1);
      for (HostId host : new HostId[] {FIRST, SECOND}) {
        site.awaitUntil(
            () -> "the configuration version is exported",
            () -> sumOfSeries(site, host, "catkinlift_configuration_version ") == 1);
      }
      site.awaitUntil(() -> "relays are counted", () -> relaysOfBoth(site) > 0);

      TestSite.await(site.stopDaemon(SECOND));
      site.awaitUntil(
          () -> "the remaining daemon dispatches to all upstreams",
          () -> countUpstreamSeries(site, FIRST) == UPSTREAMS);
      site.startDaemon(SECOND);
      site.awaitUntil(
          () -> "both dispatch to some upstreams",
          () ->
              countUpstreamSeries(site, SECOND) > 0
                  && countUpstreamSeries(site, FIRST) + countUpstreamSeries(site, SECOND)
                      == UPSTREAMS);
    }
  }

  private static double authority(TestSite site, HostId daemon) {
    return sumOfSeries(site, daemon, "catkinlift_authority ");
  }

  /**
   * Sends the same requests to both daemons, so that one of them must relay, and returns the number
   * of relays. At most one daemon is the dispatcher of a key.
   */
  private static double relaysOfBoth(TestSite site) {
    site.awaitServing();
    return relays(site, FIRST) + relays(site, SECOND);
  }

  private static double relays(TestSite site, HostId daemon) {
    return sumOfSeries(site, daemon, "catkinlift_relays_total{");
  }
}
