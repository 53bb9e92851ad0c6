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
 * Decides which versions a periodic digest states.
 *
 * <p>A digest of all 1,190 values at the design size takes about 56 KB, so a periodic one states
 * the configuration, the values that changed last and a few others in turn.
 */
final class DigestComposer {
  private static final int RECENT = 4;
  private static final int IN_TURN = 4;

  private final VersionStore store;
  private String lastInTurn = "";

  DigestComposer(VersionStore store) {
    this.store = store;
  }

  Digest periodic(Optional<Duration> age) {
    ImmutableMap<String, Epoch> inTurn = store.digestAfter(lastInTurn, IN_TURN).versions();
    lastInTurn = inTurn.size() < IN_TURN ? "" : Iterables.getLast(inTurn.keySet());
    return new Digest(
        ImmutableMap.<String, Epoch>builder()
            .put(Configuration.NAME, store.configuration().versionEpoch())
            .putAll(store.recentDigest(RECENT).versions())
            .putAll(inTurn)
            .buildKeepingLast(),
        age);
  }

  Digest all(Optional<Duration> age) {
    return new Digest(store.digest().versions(), age);
  }

  Digest changedSince(long arrivals, Optional<Duration> age) {
    return new Digest(store.digestSince(arrivals).versions(), age);
  }
}
