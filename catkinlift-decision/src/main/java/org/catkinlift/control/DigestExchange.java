package org.catkinlift.control;

import java.util.TreeMap;
import org.catkinlift.control.PeerMessage.Digest;

/**
 * Exchanges digests with one peer as deltas.
 *
 * <p>A digest lists the versions that changed since the latest message that the peer has
 * acknowledged. The peer acknowledges a message only if it has seen all versions up to the
 * message's base. A lost or reordered message therefore cannot hide a version: its versions are
 * sent again until the peer acknowledges a message that contains them. A restarted peer has seen no
 * message, reports so in its next message and receives a digest of all versions. Confined to the
 * control thread.
 */
public final class DigestExchange {
  /**
   * Covers 16 s of heartbeats; a peer that has acknowledged only earlier messages receives a digest
   * of all versions.
   */
  private static final int MAX_TRACKED_MESSAGES = 64;

  /**
   * A digest of all versions takes 24 KB or more at the design size, so a peer that does not answer
   * receives one only in every fourth message (once per second) and empty digests in the others.
   */
  private static final long FULL_DIGEST_SPACING = 4;

  private final VersionStore store;
  private final TreeMap<Long, Long> updateCountByMessage = new TreeMap<>();
  private long acknowledgedByPeer;
  private long lastFullDigest = -FULL_DIGEST_SPACING;
  private long peerIncarnation;
  private long acknowledged;

  /**
   * Creates an exchange in which neither side has acknowledged a message.
   *
   * @param store the values of this daemon
   */
  public DigestExchange(VersionStore store) {
    this.store = store;
  }

  /**
   * A digest and its base message.
   *
   * @param base see {@link DigestRange#base}
   * @param digest the versions
   */
  public record Outgoing(long base, Digest digest) {}

  /**
   * Composes the digest of the next message to the peer.
   *
   * @param number the number of the message, positive and higher than that of the previous message
   * @return the digest
   */
  public Outgoing next(long number) {
    Long baseUpdateCount = updateCountByMessage.get(acknowledgedByPeer);
    updateCountByMessage.put(number, store.updateCount());
    if (updateCountByMessage.size() > MAX_TRACKED_MESSAGES) {
      updateCountByMessage.pollFirstEntry();
    }
    if (baseUpdateCount != null) {
      return new Outgoing(acknowledgedByPeer, store.digestSince(baseUpdateCount));
    }
    if (number - lastFullDigest < FULL_DIGEST_SPACING) {
      return new Outgoing(number, store.digestSince(store.updateCount()));
    }
    lastFullDigest = number;
    return new Outgoing(0, store.digest());
  }

  /**
   * Processes a message of the peer; the caller skips messages that arrive after a later one.
   *
   * @param incarnation identifies the run of the peer's process
   * @param number the number of the message
   * @param range what its digest covers
   */
  public void received(long incarnation, long number, DigestRange range) {
    if (incarnation != peerIncarnation) {
      peerIncarnation = incarnation;
      acknowledged = 0;
    }
    if (range.base() <= acknowledged) {
      acknowledged = Math.max(acknowledged, number);
    }
    acknowledgedByPeer = range.acknowledged();
    updateCountByMessage.headMap(acknowledgedByPeer, false).clear();
  }

  /**
   * Returns the latest message of the peer up to which this daemon has seen all versions.
   *
   * @return the number of the message; 0 if there is none
   */
  public long acknowledged() {
    return acknowledged;
  }
}
