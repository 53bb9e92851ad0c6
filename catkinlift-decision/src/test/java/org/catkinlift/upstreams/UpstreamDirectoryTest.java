package org.catkinlift.upstreams;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.junit.jupiter.api.Test;

/**
 * Guards against new work for upstreams that leave, and against dropping upstreams that are
 * unlisted only because of a store outage.
 */
final class UpstreamDirectoryTest {
  private static final UpstreamId ID = UpstreamId.of("u-1");
  private static final ZoneName ZONE = ZoneName.of("z");

  private final UpstreamDirectory directory = new UpstreamDirectory();

  private static long seconds(double value) {
    return (long) (value * Duration.ofSeconds(1).toNanos());
  }

  private static ImmutableMap<UpstreamId, UpstreamRecord> listed(boolean draining) {
    return ImmutableMap.of(
        ID,
        UpstreamRecord.builder()
            .id(ID)
            .startedMillis(1)
            .service(ServiceName.of("desk"))
            .address(NetworkAddress.of("10.0.0.1", 80))
            .zone(ZONE)
            .draining(draining)
            .build());
  }

  private UpstreamStatus status() {
    return directory.entries().get(0).status();
  }

  @Test
  void drainingCountsFromWhenItWasFirstSeen() {
    directory.listed(listed(true), seconds(1));
    directory.listed(listed(true), seconds(2));

    assertThat(status())
        .isEqualTo(new UpstreamStatus.Leaving(seconds(1), UpstreamStatus.Cause.DRAINING));
  }

  @Test
  void unlistedUpstreamLeavesAtOnceWhileTheStoreIsReachable() {
    directory.listed(listed(false), seconds(1));
    directory.listed(ImmutableMap.of(), seconds(2));

    assertThat(status())
        .isEqualTo(new UpstreamStatus.Leaving(seconds(2), UpstreamStatus.Cause.UNLISTED));
  }

  private void haveOutage(double fromSeconds, double toSeconds) {
    var unused = directory.storeAnswered(seconds(fromSeconds));
    directory.storeCallFailed();
    Duration outage = directory.storeAnswered(seconds(toSeconds));
    assertThat(outage).isEqualTo(Duration.ofNanos(seconds(toSeconds - fromSeconds)));
  }

  @Test
  void upstreamUnlistedByAnOutageStaysUntilTheGracePeriodEnds() {
    directory.listed(listed(false), seconds(1));
    haveOutage(2, 10);
    directory.listed(ImmutableMap.of(), seconds(10));
    assertThat(status()).isEqualTo(new UpstreamStatus.Missing(seconds(10)));

    directory.refresh(seconds(12));
    assertThat(status()).isEqualTo(new UpstreamStatus.Missing(seconds(10)));

    directory.refresh(seconds(12.5));
    assertThat(status())
        .isEqualTo(new UpstreamStatus.Leaving(seconds(10), UpstreamStatus.Cause.UNLISTED));
  }

  @Test
  void upstreamThatRegistersAgainInTheGracePeriodIsInService() {
    directory.listed(listed(false), seconds(1));
    haveOutage(2, 10);
    directory.listed(ImmutableMap.of(), seconds(10));
    directory.listed(listed(false), seconds(11));
    directory.refresh(seconds(20));

    assertThat(status()).isEqualTo(new UpstreamStatus.InService());
  }

  /** A reset connection would keep an upstream that left in service on all daemons. */
  @Test
  void oneFailedCallStartsNoGracePeriod() {
    directory.listed(listed(false), seconds(1));
    var unused = directory.storeAnswered(seconds(1.9));
    directory.storeCallFailed();
    assertThat(directory.storeAnswered(seconds(2.1))).isEqualTo(Duration.ZERO);
    directory.storeCallFailed();
    directory.listed(ImmutableMap.of(), seconds(2.5));

    assertThat(status())
        .isEqualTo(new UpstreamStatus.Leaving(seconds(2.5), UpstreamStatus.Cause.UNLISTED));
  }

  /** A daemon whose own calls stay unanswered would keep upstreams that left without end. */
  @Test
  void contactThroughTheCoordinatorEndsTheOutage() {
    directory.listed(listed(false), seconds(1));
    var unused = directory.storeAnswered(seconds(2));
    directory.storeCallFailed();
    Duration outage =
        directory.storeConfirmedByCoordinator(Duration.ZERO, Duration.ZERO, seconds(6));
    assertThat(outage).isEqualTo(Duration.ofSeconds(4));

    directory.listed(ImmutableMap.of(), seconds(18));
    assertThat(status())
        .isEqualTo(new UpstreamStatus.Leaving(seconds(18), UpstreamStatus.Cause.UNLISTED));
  }

  @Test
  void daemonWithoutStoreAccessAdoptsTheGracePeriodOfTheDaemonThatReadsTheStore() {
    directory.listed(listed(false), seconds(1));
    haveOutage(2, 10);
    var other = new UpstreamDirectory();
    other.listed(listed(false), seconds(1));
    Duration none = other.storeConfirmedByCoordinator(Duration.ZERO, Duration.ZERO, seconds(2));
    assertThat(none).isEqualTo(Duration.ZERO);

    Duration outage =
        other.storeConfirmedByCoordinator(
            Duration.ZERO, directory.gracePeriod(seconds(10.2)), seconds(10.2));
    assertThat(outage).isEqualTo(Duration.ofMillis(8_200));
    other.listed(ImmutableMap.of(), seconds(11));
    assertThat(other.entries().get(0).status()).isEqualTo(new UpstreamStatus.Missing(seconds(11)));

    other.refresh(seconds(12.6));
    assertThat(other.entries().get(0).status()).isInstanceOf(UpstreamStatus.Leaving.class);
    assertThat(directory.gracePeriod(seconds(13))).isEqualTo(Duration.ZERO);
  }

  /** A coordinator that alone had lost the store would delay leaving on all daemons. */
  @Test
  void outageOfTheCoordinatorAloneStartsNoGracePeriod() {
    directory.listed(listed(false), seconds(1));
    var unused = directory.storeAnswered(seconds(9.8));
    Duration outage =
        directory.storeConfirmedByCoordinator(
            Duration.ZERO, Duration.ofMillis(2_300), seconds(10.2));

    assertThat(outage).isEqualTo(Duration.ZERO);
    assertThat(directory.gracePeriod(seconds(10.2))).isEqualTo(Duration.ZERO);
  }

  /** An upstream that is missing would get requests although its zone was taken out. */
  @Test
  void missingUpstreamLeavesWithItsZone() {
    directory.listed(listed(false), seconds(1));
    haveOutage(2, 10);
    directory.listed(ImmutableMap.of(), seconds(10));
    directory.zonesOutOfService(ImmutableSet.of(ZONE), seconds(10.5));

    assertThat(status())
        .isEqualTo(
            new UpstreamStatus.Leaving(seconds(10), UpstreamStatus.Cause.ZONE_OUT_OF_SERVICE));
  }

  /** Upstreams that cannot register again in a second outage would be dropped in it. */
  @Test
  void gracePeriodDoesNotRunOutWhileCallsFail() {
    directory.listed(listed(false), seconds(1));
    haveOutage(2, 10);
    directory.listed(ImmutableMap.of(), seconds(10));
    directory.storeCallFailed();
    directory.refresh(seconds(14));
    assertThat(status()).isEqualTo(new UpstreamStatus.Missing(seconds(10)));

    var unused = directory.storeAnswered(seconds(15));
    directory.refresh(seconds(17.4));
    assertThat(status()).isInstanceOf(UpstreamStatus.Leaving.class);
  }

  @Test
  void zoneOutOfServiceAndBack() {
    directory.listed(listed(false), seconds(1));
    directory.zonesOutOfService(ImmutableSet.of(ZONE), seconds(2));
    assertThat(status())
        .isEqualTo(
            new UpstreamStatus.Leaving(seconds(2), UpstreamStatus.Cause.ZONE_OUT_OF_SERVICE));

    directory.zonesOutOfService(ImmutableSet.of(), seconds(3));
    assertThat(status()).isEqualTo(new UpstreamStatus.InService());
  }

  @Test
  void removesUnlistedUpstreamAfterRetention() {
    directory.listed(listed(false), seconds(1));
    directory.listed(ImmutableMap.of(), seconds(2));
    directory.refresh(seconds(20));

    assertThat(directory.entries()).isEmpty();
  }

  /** A second cause would extend the time for which the upstream gets requests. */
  @Test
  void drainingInAZoneOutOfServiceCountsFromTheFirstCause() {
    directory.listed(listed(false), seconds(1));
    directory.zonesOutOfService(ImmutableSet.of(ZONE), seconds(2));
    directory.listed(listed(true), seconds(6));

    assertThat(status())
        .isEqualTo(new UpstreamStatus.Leaving(seconds(2), UpstreamStatus.Cause.DRAINING));
  }

  @Test
  void upstreamThatJoinsAZoneOutOfServiceCountsFromTheZone() {
    directory.zonesOutOfService(ImmutableSet.of(ZONE), seconds(2));
    directory.listed(listed(false), seconds(9));

    assertThat(status())
        .isEqualTo(
            new UpstreamStatus.Leaving(seconds(2), UpstreamStatus.Cause.ZONE_OUT_OF_SERVICE));
  }

  /** An older record that arrives late would bring a leaving upstream back into service. */
  @Test
  void drainedIncarnationStaysOutOfServiceAfterRetention() {
    directory.listed(listed(true), seconds(1));
    directory.listed(listed(false), seconds(2));
    assertThat(status())
        .isEqualTo(new UpstreamStatus.Leaving(seconds(1), UpstreamStatus.Cause.DRAINING));

    directory.listed(ImmutableMap.of(), seconds(3));
    directory.refresh(seconds(20));
    directory.listed(listed(false), seconds(21));
    assertThat(status()).isInstanceOf(UpstreamStatus.Leaving.class);
  }

  @Test
  void onlyUnlistedUpstreamsChangeWithTime() {
    directory.listed(listed(false), seconds(1));
    assertThat(directory.refreshUnlisted(seconds(2))).isFalse();

    directory.listed(ImmutableMap.of(), seconds(3));
    assertThat(directory.refreshUnlisted(seconds(20))).isTrue();
    assertThat(directory.entries()).isEmpty();
  }

  /** The row that takes the zone out of service is lost until operators write it again. */
  @Test
  void zoneStaysOutOfServiceInTheGracePeriodAfterARestore() {
    directory.listed(listed(false), seconds(1));
    directory.zonesOutOfService(ImmutableSet.of(ZONE), seconds(1));
    directory.storeRestored(seconds(5));
    directory.zonesOutOfService(ImmutableSet.of(), seconds(5));
    directory.listed(listed(false), seconds(7.2));
    assertThat(status())
        .isEqualTo(
            new UpstreamStatus.Leaving(seconds(1), UpstreamStatus.Cause.ZONE_OUT_OF_SERVICE));

    assertThat(directory.refreshUnlisted(seconds(7.4))).isTrue();
    assertThat(status()).isEqualTo(new UpstreamStatus.InService());
  }

  @Test
  void zoneThatIsWrittenAgainInTheGracePeriodStaysOutOfServiceAfterIt() {
    directory.listed(listed(false), seconds(1));
    directory.zonesOutOfService(ImmutableSet.of(ZONE), seconds(1));
    directory.storeRestored(seconds(5));
    directory.zonesOutOfService(ImmutableSet.of(), seconds(5));
    directory.storeRestored(seconds(6));
    directory.zonesOutOfService(ImmutableSet.of(ZONE), seconds(8));

    var unused = directory.refreshUnlisted(seconds(9));
    assertThat(status())
        .isEqualTo(
            new UpstreamStatus.Leaving(seconds(1), UpstreamStatus.Cause.ZONE_OUT_OF_SERVICE));
  }

  /** The copy may hold the row of an upstream from before it drained, or lack the row. */
  @Test
  void drainingUpstreamLeavesAndUnlistedOneStaysAfterARestore() {
    directory.listed(listed(true), seconds(1));
    directory.storeRestored(seconds(2));
    directory.listed(listed(false), seconds(2));
    assertThat(status())
        .isEqualTo(new UpstreamStatus.Leaving(seconds(1), UpstreamStatus.Cause.DRAINING));

    var other = new UpstreamDirectory();
    other.listed(listed(false), seconds(1));
    other.storeRestored(seconds(2));
    other.listed(ImmutableMap.of(), seconds(2));
    assertThat(other.entries().get(0).status()).isEqualTo(new UpstreamStatus.Missing(seconds(2)));
  }
}
