package org.catkinlift.configuration;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.control.PeerMessage.Digest;
import org.catkinlift.control.VersionStore;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.Epoch;

/**
 * Composes digests.
 *
 * <p>A digest of all 1,190 values at the design size takes about 56 KB, so a periodic digest lists
 * the configuration, the most recently updated values and a few others in round-robin order.
 */
final class DigestComposer {
  private static final int RECENT_COUNT = 4;
  private static final int ROUND_ROBIN_COUNT = 4;

  private final VersionStore store;
  private String roundRobinCursor = "";

  DigestComposer(VersionStore store) {
    this.store = store;
  }

  Digest periodic(Optional<Duration> age) {
    ImmutableMap<String, Epoch> roundRobin =
        store.digestAfter(roundRobinCursor, ROUND_ROBIN_COUNT).versions();
    roundRobinCursor =
        roundRobin.size() < ROUND_ROBIN_COUNT ? "" : Iterables.getLast(roundRobin.keySet());
    return new Digest(
        ImmutableMap.<String, Epoch>builder()
            .put(Configuration.NAME, store.configuration().versionEpoch())
            .putAll(store.recentDigest(RECENT_COUNT).versions())
            .putAll(roundRobin)
            .buildKeepingLast(),
        age);
  }

  Digest all(Optional<Duration> age) {
    return new Digest(store.digest().versions(), age);
  }

  Digest changedSince(long updateCount, Optional<Duration> age) {
    return new Digest(store.digestSince(updateCount).versions(), age);
  }
}
