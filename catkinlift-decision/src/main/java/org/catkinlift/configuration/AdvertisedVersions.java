package org.catkinlift.configuration;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.catkinlift.control.PeerMessage.Digest;
import org.catkinlift.control.VersionStore;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;

/**
 * Records the versions that peers advertise in heartbeats and their answers until this daemon has
 * them.
 *
 * <p>Such a digest lists a version only until it is acknowledged, so a pull that fails after the
 * acknowledgement has to be repeated from this record.
 */
final class AdvertisedVersions {
  private final VersionStore store;
  private final Map<HostId, TreeMap<String, Epoch>> missingByPeer = new HashMap<>();

  AdvertisedVersions(VersionStore store) {
    this.store = store;
  }

  /**
   * Records a digest and returns all versions that the peer has advertised and this daemon lacks.
   */
  Digest recordDigest(HostId peer, Digest digest) {
    missingByPeer
        .values()
        .forEach(v -> v.entrySet().removeIf(e -> !isNewer(e.getKey(), e.getValue())));
    missingByPeer.values().removeIf(Map::isEmpty);
    ImmutableMap<String, Epoch> missing =
        store.missing(digest).stream().collect(toImmutableMap(n -> n, digest.versions()::get));
    if (!missing.isEmpty()) {
      missingByPeer.computeIfAbsent(peer, p -> new TreeMap<>()).putAll(missing);
    }
    TreeMap<String, Epoch> outstanding = missingByPeer.get(peer);
    return new Digest(outstanding == null ? ImmutableMap.of() : ImmutableMap.copyOf(outstanding));
  }

  private boolean isNewer(String name, Epoch version) {
    return store.value(name).filter(v -> !version.isAfter(v.versionEpoch())).isEmpty();
  }
}
