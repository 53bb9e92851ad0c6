package org.catkinlift.gateway.http;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/** The result of an {@link HttpCall}. */
public sealed interface CallResult {

  /**
   * A complete response was received.
   *
   * @param status the status code
   * @param headers the headers by name in lower case
   * @param body the complete body as text
   */
  record Answered(int status, ImmutableMap<String, String> headers, String body)
      implements CallResult {

    /**
     * Returns whether the call succeeded.
     *
     * @return true for a 2xx status code
     */
    public boolean isSuccess() {
      return status / 100 == 2;
    }

    /**
     * Returns a header.
     *
     * @param name the name in lower case
     * @return the value, or empty
     */
    public Optional<String> header(String name) {
      return Optional.ofNullable(headers.get(name));
    }
  }

  /**
   * No part of the request was sent, so that the call has no effect.
   *
   * @param reason the reason, for logs
   */
  record NotSent(String reason) implements CallResult {}

  /**
   * The request may have been sent, but no response was received. The call may have taken effect,
   * or may still do so.
   *
   * @param reason the reason, for logs
   */
  record Unanswered(String reason) implements CallResult {}
}
