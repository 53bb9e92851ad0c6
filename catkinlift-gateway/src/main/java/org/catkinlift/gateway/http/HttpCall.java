package org.catkinlift.gateway.http;

import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.catkinlift.model.NetworkAddress;

/**
 * An HTTP request with a short text body.
 *
 * @param address the address of the server
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the headers, except those that the client sets itself
 * @param body the body; empty for none
 * @param timeout the maximum time from sending to the end of the response
 * @param connectTimeout the maximum time until a new connection is established; after it, the
 *     request is not sent
 * @param maxResponseBytes the maximum size of the response with its head, in bytes
 * @param ownConnection whether the call gets a new connection that no other call uses, so that a
 *     late copy of the response to another call cannot be taken for the response to this one
 * @param sendCondition asked right before the request is sent; if false, it is not sent
 */
public record HttpCall(
    NetworkAddress address,
    String method,
    String target,
    ImmutableMap<String, String> headers,
    String body,
    Duration timeout,
    Duration connectTimeout,
    int maxResponseBytes,
    boolean ownConnection,
    BooleanSupplier sendCondition) {
  /** The maximum size of any response; fits a page of rows with their encoding. */
  public static final int MAX_RESPONSE_BYTES = 16 << 20;

  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(1);

  /** Fits responses that only confirm the request. */
  private static final int DEFAULT_MAX_RESPONSE_BYTES = 64 << 10;

  /**
   * Returns a builder.
   *
   * @param address the address of the server
   * @return the builder
   */
  public static Builder to(NetworkAddress address) {
    return new Builder(address);
  }

  /** A builder for {@link HttpCall}. */
  public static final class Builder {
    private final NetworkAddress address;
    private String method = "GET";
    private String target = "/";
    private ImmutableMap<String, String> headers = ImmutableMap.of();
    private String body = "";
    private Duration timeout = DEFAULT_TIMEOUT;
    private Duration connectTimeout = DEFAULT_TIMEOUT;
    private int maxResponseBytes = DEFAULT_MAX_RESPONSE_BYTES;
    private boolean ownConnection;
    private BooleanSupplier sendCondition = () -> true;

    private Builder(NetworkAddress address) {
      this.address = address;
    }

    /** Sets the method, and the path and query. */
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

    /** Sets the maximum time from sending to the end of the response. */
    @CanIgnoreReturnValue
    public Builder timeout(Duration value) {
      timeout = value;
      return this;
    }

    /** Sets the maximum time until a new connection is established. */
    @CanIgnoreReturnValue
    public Builder connectTimeout(Duration value) {
      connectTimeout = value;
      return this;
    }

    /** Sets the maximum size of the response with its head, in bytes. */
    @CanIgnoreReturnValue
    public Builder maxResponseBytes(int value) {
      maxResponseBytes = value;
      return this;
    }

    /** Sends the call on a new connection that no other call uses. */
    @CanIgnoreReturnValue
    public Builder ownConnection() {
      ownConnection = true;
      return this;
    }

    /** Sets what must still hold right before the request is sent. */
    @CanIgnoreReturnValue
    public Builder sendCondition(BooleanSupplier value) {
      sendCondition = value;
      return this;
    }

    /**
     * Returns the call.
     *
     * @return the call
     */
    public HttpCall build() {
      return new HttpCall(
          address,
          method,
          target,
          headers,
          body,
          timeout,
          connectTimeout,
          maxResponseBytes,
          ownConnection,
          sendCondition);
    }
  }
}
