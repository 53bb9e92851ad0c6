package org.catkinlift.gateway.http;

import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import org.catkinlift.model.NetworkAddress;

/**
 * A short HTTP call.
 *
 * @param address where to
 * @param method the method
 * @param target the path with its query
 * @param headers headers besides those of the transport
 * @param body the body as text, empty for none
 * @param timeout from sending to the end of the answer
 * @param connectTimeout if there is no connection by then, the call is not sent
 */
public record HttpCall(
    NetworkAddress address,
    String method,
    String target,
    ImmutableMap<String, String> headers,
    String body,
    Duration timeout,
    Duration connectTimeout) {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(1);

  /**
   * Returns a builder.
   *
   * @param address where to
   * @return the builder
   */
  public static Builder to(NetworkAddress address) {
    return new Builder(address);
  }

  /** Collects the parts of an {@link HttpCall}. */
  public static final class Builder {
    private final NetworkAddress address;
    private String method = "GET";
    private String target = "/";
    private ImmutableMap<String, String> headers = ImmutableMap.of();
    private String body = "";
    private Duration timeout = DEFAULT_TIMEOUT;
    private Duration connectTimeout = DEFAULT_TIMEOUT;

    private Builder(NetworkAddress address) {
      this.address = address;
    }

    /** Sets the method and the path with its query. */
    @CanIgnoreReturnValue
    public Builder request(String methodName, String path) {
      method = methodName;
      target = path;
      return this;
    }

    /** Sets the headers. */
    @CanIgnoreReturnValue
    public Builder headers(ImmutableMap<String, String> value) {
      headers = value;
      return this;
    }

    /** Sets the body. */
    @CanIgnoreReturnValue
    public Builder body(String value) {
      body = value;
      return this;
    }

    /** Sets the time from sending to the end of the answer. */
    @CanIgnoreReturnValue
    public Builder timeout(Duration value) {
      timeout = value;
      return this;
    }

    /** Sets the time after which the call is not sent any more. */
    @CanIgnoreReturnValue
    public Builder connectTimeout(Duration value) {
      connectTimeout = value;
      return this;
    }

    /**
     * Returns the call.
     *
     * @return the call
     */
    public HttpCall build() {
      return new HttpCall(address, method, target, headers, body, timeout, connectTimeout);
    }
  }
}
