package org.catkinlift.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import org.catkinlift.control.PeerMessage.Digest;
import org.catkinlift.control.VersionStore;
import org.catkinlift.control.fake.FakeSite;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostId;
import org.junit.jupiter.api.Test;

final class StatedVersionsTest {
  private static final Digest NOTHING = new Digest(ImmutableMap.of());
  private static final HostId PEER = HostId.of("suva-01");

  private final VersionStore store = new VersionStore();
  private final StatedVersions stated = new StatedVersions(store);

  private static Digest configuration(long version) {
    return new Digest(
        ImmutableMap.of(Configuration.NAME, FakeSite.configuration(version).versionEpoch()));
  }

  /** Guards against a version that is stated once and never pulled because its answer was lost. */
  @Test
  void namesAVersionUntilItHasArrived() {
    assertThat(stated.note(PEER, configuration(3))).isEqualTo(configuration(3));
    store.offer(FakeSite.configuration(2));
    assertThat(stated.note(PEER, NOTHING)).isEqualTo(configuration(3));
    store.offer(FakeSite.configuration(3));
    assertThat(stated.note(PEER, NOTHING)).isEqualTo(NOTHING);
  }

  /** Guards against pulls from a peer that never stated the version. */
  @Test
  void keepsPeersApart() {
    stated.note(PEER, configuration(3));
    assertThat(stated.note(HostId.of("suva-02"), NOTHING)).isEqualTo(NOTHING);
  }
}
