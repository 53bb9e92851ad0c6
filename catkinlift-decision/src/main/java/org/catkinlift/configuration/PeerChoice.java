package org.catkinlift.configuration;

/** The strategy by which the representative of a cell chooses the peers that receive its digest. */
public sealed interface PeerChoice {

  /**
   * Ranks the peers by a hash of round, sender and peer (rendezvous hashing), so that the choice in
   * a round is deterministic.
   */
  record RendezvousPerRound() implements PeerChoice {}

  /** Draws the peers at random. */
  record RandomDraw() implements PeerChoice {}

  /**
   * Arranges the peers in a tree in which those with the longest uptime are closest to the root, so
   * that daemons with a short uptime are leaves, whose restarts disconnect no other daemon.
   *
   * <p>Based on "A Persistent Structured Hierarchical Overlay Network to Counter Intentional Churn
   * Attack" (2016).
   */
  record LongUptimeTree() implements PeerChoice {}
}
