package org.catkinlift.routes;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;

/**
 * A rule that routes the requests with one host and path prefix to services.
 *
 * @param name the name that operators gave the route
 * @param host the value of the {@code Host} header
 * @param prefix the path prefix; begins and ends with a slash
 * @param kind how often a request may be executed
 * @param targetLatency the latency target; a later response is of reduced value
 * @param timeout the time after which a request expires, unless its own deadline is earlier
 * @param maxAttempts the maximum number of upstreams on which a request may be executed
 * @param priority the rank; 0 is the highest
 * @param isPublic whether requests need no API key of a tenant
 * @param targets the services with their shares; not empty
 */
public record Route(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    Duration targetLatency,
    Duration timeout,
    int maxAttempts,
    int priority,
    boolean isPublic,
    ImmutableList<WeightedTarget> targets) {

  /**
   * Returns a new builder.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds a {@link Route}. */
  public static final class Builder {
    private String name = "";
    private String host = "";
    private String prefix = "/";
    private RequestKind kind = RequestKind.NON_IDEMPOTENT;
    private Duration targetLatency = Duration.ofMillis(500);
    private Duration timeout = Duration.ofSeconds(2);
    private int maxAttempts = 1;
    private int priority;
    private boolean isPublic;
    private ImmutableList<WeightedTarget> targets = ImmutableList.of();

    private Builder() {}

    /** Sets the name. */
    @CanIgnoreReturnValue
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Sets the host. */
    @CanIgnoreReturnValue
    public Builder host(String value) {
      host = value;
      return this;
    }

    /** Sets the path prefix. */
    @CanIgnoreReturnValue
    public Builder prefix(String value) {
      prefix = value;
      return this;
    }

    /** Sets how often a request may be executed. */
    @CanIgnoreReturnValue
    public Builder kind(RequestKind value) {
      kind = value;
      return this;
    }

    /** Sets the latency target. */
    @CanIgnoreReturnValue
    public Builder targetLatency(Duration value) {
      targetLatency = value;
      return this;
    }

    /** Sets the time after which a request expires, unless its own deadline is earlier. */
    @CanIgnoreReturnValue
    public Builder timeout(Duration value) {
      timeout = value;
      return this;
    }

    /** Sets the maximum number of upstreams on which a request may be executed. */
    @CanIgnoreReturnValue
    public Builder maxAttempts(int value) {
      maxAttempts = value;
      return this;
    }

    /** Sets the rank; 0 is the highest. */
    @CanIgnoreReturnValue
    public Builder priority(int value) {
      priority = value;
      return this;
    }

    /** Sets whether requests need no API key of a tenant. */
    @CanIgnoreReturnValue
    public Builder isPublic(boolean value) {
      isPublic = value;
      return this;
    }

    /** Sets the services with their shares. */
    @CanIgnoreReturnValue
    public Builder targets(ImmutableList<WeightedTarget> value) {
      targets = value;
      return this;
    }

    /**
     * Returns the route.
     *
     * @return the route
     */
    public Route build() {
      return new Route(
          name,
          host,
          prefix,
          kind,
          targetLatency,
          timeout,
          maxAttempts,
          priority,
          isPublic,
          targets);
    }
  }
}
