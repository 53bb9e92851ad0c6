package org.catkinlift.protocol;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableListMultimap;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.UpstreamId;

/**
 * Describes a request that a daemon relays to the dispatcher of an upstream.
 *
 * @param request the request, with the time that remains until its deadline
 * @param upstream the upstream that the sending daemon selected
 * @param slot the slot of the key, or -1 for services that are not partitioned by key
 * @param epoch the epoch of the owner that the sending daemon knows
 * @param method the HTTP method
 * @param target the path and query of the request to the upstream
 * @param headers the headers of the request to the upstream
 * @param hasBody whether body frames follow
 */
public record RelayHead(
    RequestDescription request,
    UpstreamId upstream,
    int slot,
    Epoch epoch,
    String method,
    String target,
    ImmutableListMultimap<String, String> headers,
    boolean hasBody) {

  /**
   * Returns a new builder.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns a builder with the values of this head.
   *
   * @return the builder
   */
  public Builder toBuilder() {
    return new Builder()
        .request(request)
        .upstream(upstream)
        .slot(slot)
        .epoch(epoch)
        .method(method)
        .target(target)
        .headers(headers)
        .hasBody(hasBody);
  }

  /** Builds a {@link RelayHead}. */
  public static final class Builder {
    private RequestDescription request;
    private UpstreamId upstream;
    private int slot = -1;
    private Epoch epoch = Epoch.NONE;
    private String method = "GET";
    private String target = "/";
    private ImmutableListMultimap<String, String> headers = ImmutableListMultimap.of();
    private boolean hasBody;

    private Builder() {}

    /**
     * Sets the request.
     *
     * @param request the request
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder request(RequestDescription request) {
      this.request = request;
      return this;
    }

    /**
     * Sets the upstream.
     *
     * @param upstream the upstream
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder upstream(UpstreamId upstream) {
      this.upstream = upstream;
      return this;
    }

    /**
     * Sets the slot; -1 if not set.
     *
     * @param slot the slot
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder slot(int slot) {
      this.slot = slot;
      return this;
    }

    /**
     * Sets the epoch; {@link Epoch#NONE} if not set.
     *
     * @param epoch the epoch
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder epoch(Epoch epoch) {
      this.epoch = epoch;
      return this;
    }

    /**
     * Sets the HTTP method; GET if not set.
     *
     * @param method the method
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder method(String method) {
      this.method = method;
      return this;
    }

    /**
     * Sets the path and query.
     *
     * @param target the path and query
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder target(String target) {
      this.target = target;
      return this;
    }

    /**
     * Sets the headers.
     *
     * @param headers the headers
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder headers(ImmutableListMultimap<String, String> headers) {
      this.headers = headers;
      return this;
    }

    /**
     * Sets whether body frames follow.
     *
     * @param hasBody true if they do
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder hasBody(boolean hasBody) {
      this.hasBody = hasBody;
      return this;
    }

    /**
     * Builds the head.
     *
     * @return the head
     * @throws NullPointerException if the request or the upstream is missing
     */
    public RelayHead build() {
      return new RelayHead(
          checkNotNull(request, "request"),
          checkNotNull(upstream, "upstream"),
          slot,
          epoch,
          method,
          target,
          headers,
          hasBody);
    }
  }
}
