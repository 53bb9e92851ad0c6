package org.catkinlift.gateway.traffic;

/** Where a request goes. */
sealed interface UpstreamChoice {

  /**
   * To an upstream.
   *
   * @param pool the way to it
   */
  record Selected(UpstreamPool pool) implements UpstreamChoice {}

  /** To an upstream that is about to get the keys of the request. */
  record HandoverPending() implements UpstreamChoice {}

  /**
   * Nowhere, for the time being.
   *
   * @param reason why
   */
  record Unavailable(String reason) implements UpstreamChoice {}
}
