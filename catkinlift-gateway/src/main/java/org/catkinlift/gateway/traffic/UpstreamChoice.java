package org.catkinlift.gateway.traffic;

/** The result of selecting an upstream for a request. */
sealed interface UpstreamChoice {

  /**
   * The request is sent to an upstream.
   *
   * @param pool the connection pool of the upstream
   */
  record Selected(UpstreamPool pool) implements UpstreamChoice {}

  /** The request waits, because its key is being handed over to another upstream. */
  record HandoverPending() implements UpstreamChoice {}

  /**
   * No upstream can take the request at present.
   *
   * @param reason the reason for the refusal
   */
  record Unavailable(String reason) implements UpstreamChoice {}
}
