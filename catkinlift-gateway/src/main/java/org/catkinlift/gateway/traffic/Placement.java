package org.catkinlift.gateway.traffic;

/** Where a request goes. */
sealed interface Placement {

  /**
   * To an upstream.
   *
   * @param gate the way to it
   */
  record At(UpstreamGate gate) implements Placement {}

  /** To an upstream that is about to get the keys of the request. */
  record Moving() implements Placement {}

  /**
   * Nowhere, for the time being.
   *
   * @param reason why
   */
  record Nowhere(String reason) implements Placement {}
}
