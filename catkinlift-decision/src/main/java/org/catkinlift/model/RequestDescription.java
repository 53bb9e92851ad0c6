package org.catkinlift.model;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;

/**
 * The properties of a caller's request that decisions depend on; the body is streamed separately.
 *
 * @param id the request id, echoed to the caller
 * @param service the addressed service
 * @param key the key; empty for services that are not keyed
 * @param requestClass whether the request may be executed more than once
 * @param deadline the time that remains for a response, counted from the receipt of the request
 */
public record RequestDescription(
    RequestId id, ServiceName service, String key, RequestClass requestClass, Duration deadline) {
  /** The deadline of a request that does not specify one. */
  public static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);

  /**
   * Returns a new builder.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the same request with a new deadline, for a further attempt.
   *
   * @param remaining the time that remains for a response
   * @return the request
   */
  public RequestDescription withDeadline(Duration remaining) {
    return new RequestDescription(id, service, key, requestClass, remaining);
  }

  /** Builds a {@link RequestDescription}. */
  public static final class Builder {
    private RequestId id;
    private ServiceName service;
    private String key = "";
    private RequestClass requestClass = RequestClass.AT_MOST_ONCE;
    private Duration deadline = DEFAULT_DEADLINE;

    private Builder() {}

    /**
     * Sets the request id.
     *
     * @param id the request id
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder id(RequestId id) {
      this.id = id;
      return this;
    }

    /**
     * Sets the service.
     *
     * @param service the addressed service
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder service(ServiceName service) {
      this.service = service;
      return this;
    }

    /**
     * Sets the key.
     *
     * @param key the key
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder key(String key) {
      this.key = key;
      return this;
    }

    /**
     * Sets the request class; {@link RequestClass#AT_MOST_ONCE} if not set.
     *
     * @param requestClass the class
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder requestClass(RequestClass requestClass) {
      this.requestClass = requestClass;
      return this;
    }

    /**
     * Sets the deadline; {@link #DEFAULT_DEADLINE} if not set.
     *
     * @param deadline the time that remains
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder deadline(Duration deadline) {
      this.deadline = deadline;
      return this;
    }

    /**
     * Builds the description.
     *
     * @return the description
     * @throws NullPointerException if the id or the service is missing
     */
    public RequestDescription build() {
      return new RequestDescription(
          checkNotNull(id, "id"), checkNotNull(service, "service"), key, requestClass, deadline);
    }
  }
}
