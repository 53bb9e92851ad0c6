package org.catkinlift.configuration;

/** How a coordinator chooses the peers that it sends its digest to. */
public sealed interface PeerChoice {

  /**
   * Ranks the peers by a hash of round, sender and peer; the same round gives the same choice
   * without random numbers.
   */
  record RendezvousPerRound() implements PeerChoice {}

  /** Draws the peers at random. */
  record RandomDraw() implements PeerChoice {}

  /**
   * Arranges the peers in a tree in which those with the longest uptime are closest to the root, so
   * that daemons with a short uptime are leaves and their restarts cut off nobody.
   *
   * <p>The idea is from "A Persistent Structured Hierarchical Overlay Network to Counter
   * Intentional Churn Attack" (2016).
   */
  record LongUptimeTree() implements PeerChoice {}
}
