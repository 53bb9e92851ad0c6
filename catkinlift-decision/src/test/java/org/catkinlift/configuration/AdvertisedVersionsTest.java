package org.catkinlift.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import org.catkinlift.control.PeerMessage.Digest;
import org.catkinlift.control.VersionStore;
import org.catkinlift.control.fake.FakeSite;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostId;
import org.junit.jupiter.api.Test;

final class AdvertisedVersionsTest {
  private static final Digest NO_VERSIONS = new Digest(ImmutableMap.of());
  private static final HostId PEER = HostId.of("suva-01");

  private final VersionStore store = new VersionStore();
  private final AdvertisedVersions advertised = new AdvertisedVersions(store);

  private static Digest configuration(long version) {
    return new Digest(
        ImmutableMap.of(Configuration.NAME, FakeSite.configuration(version).versionEpoch()));
  }

  /** Guards against a version that is advertised once and never pulled because a reply was lost. */
  @Test
  void returnsAVersionUntilItHasArrived() {
    assertThat(advertised.recordDigest(PEER, configuration(3))).isEqualTo(configuration(3));
    store.offer(FakeSite.configuration(2));
    assertThat(advertised.recordDigest(PEER, NO_VERSIONS)).isEqualTo(configuration(3));
    store.offer(FakeSite.configuration(3));
    assertThat(advertised.recordDigest(PEER, NO_VERSIONS)).isEqualTo(NO_VERSIONS);
  }

  /** Guards against pulls from a peer that never advertised the version. */
  @Test
  void tracksPeersSeparately() {
    advertised.recordDigest(PEER, configuration(3));
    assertThat(advertised.recordDigest(HostId.of("suva-02"), NO_VERSIONS)).isEqualTo(NO_VERSIONS);
  }
}
