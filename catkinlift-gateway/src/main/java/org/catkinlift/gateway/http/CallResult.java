package org.catkinlift.gateway.http;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/** How a short HTTP call ended. */
public sealed interface CallResult {

  /**
   * The other side answered.
   *
   * @param status the status code
   * @param headers the headers, with names in lower case
   * @param body the whole body as text
   */
  record Answered(int status, ImmutableMap<String, String> headers, String body)
      implements CallResult {

    /**
     * Tells whether the call did what it asked for.
     *
     * @return true for status codes of the 200s
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
   * Nothing of the call has left this host.
   *
   * @param reason why
   */
  record NotSent(String reason) implements CallResult {}

  /**
   * The call may have taken effect, or may still do so.
   *
   * @param reason why there is no answer
   */
  record Unanswered(String reason) implements CallResult {}
}
