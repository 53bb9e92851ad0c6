package org.catkinlift.control;

import java.util.TreeMap;
import org.catkinlift.control.PeerMessage.Digest;

/**
 * Tells one peer which versions this daemon has, and notes what the peer told, by differences.
 *
 * <p>A digest states what changed since a message up to which the peer has seen everything. The
 * peer decides this by its own memory: it counts a message as seen only if it has seen everything
 * up to the message's base. A lost or reordered message therefore cannot hide a version: what it
 * stated is stated again until a message that contains it counts as seen. A restarted peer has seen
 * nothing, says so in its next message, and gets a digest of all versions. Control thread only.
 */
public final class DigestExchange {
  /** 16 s of heartbeats; a peer that has seen only earlier ones gets a digest of all versions. */
  private static final int MAX_TRACKED_MESSAGES = 64;

  /**
   * A digest of all versions takes 24 KB and more at the design size, so a peer that does not
   * answer gets one in four messages (1 s) only, and empty digests between them.
   */
  private static final long FULL_DIGEST_SPACING = 4;

  private final VersionStore store;
  private final TreeMap<Long, Long> updateCountByMessage = new TreeMap<>();
  private long acknowledgedByPeer;
  private long lastFullDigest = -FULL_DIGEST_SPACING;
  private long peerIncarnation;
  private long acknowledged;

  /**
   * Creates an exchange in which neither side has seen anything.
   *
   * @param store the values of this daemon
   */
  public DigestExchange(VersionStore store) {
    this.store = store;
  }

  /**
   * A digest and the message from which it counts.
   *
   * @param base see {@link DigestRange#base}
   * @param digest the versions
   */
  public record Outgoing(long base, Digest digest) {}

  /**
   * Composes the digest of the next message to the peer.
   *
   * @param number the number of the message, positive and higher than that of the one before
   * @return the digest
   */
  public Outgoing next(long number) {
    Long since = updateCountByMessage.get(acknowledgedByPeer);
    updateCountByMessage.put(number, store.updateCount());
    if (updateCountByMessage.size() > MAX_TRACKED_MESSAGES) {
      updateCountByMessage.pollFirstEntry();
    }
    if (since != null) {
      return new Outgoing(acknowledgedByPeer, store.digestSince(since));
    }
    if (number - lastFullDigest < FULL_DIGEST_SPACING) {
      return new Outgoing(number, store.digestSince(store.updateCount()));
    }
    lastFullDigest = number;
    return new Outgoing(0, store.digest());
  }

  /**
   * Notes a message of the peer; the caller leaves out messages that a later one has overtaken.
   *
   * @param incarnation names the run of the peer's process
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
