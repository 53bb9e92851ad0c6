package org.catkinlift.standin.upstream;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.UpstreamId;

/**
 * The settings of an upstream stand-in.
 *
 * @param id the upstream
 * @param executionSlots the number of requests that it executes concurrently when warm
 * @param queueLimit the maximum number of queued requests when warm; further requests are shed
 * @param executionTime the duration of a lookup or an order, and of a download up to its first byte
 * @param connectionLimit the maximum number of open connections; excess connections are closed
 * @param connectCost the additional latency of the first request on a connection
 * @param probeCost the duration of a health check
 * @param grantChecking whether requests are checked against grants
 * @param startsCold whether each instance starts with one execution slot and slow executions
 * @param clock its local clock
 */
public record UpstreamSettings(
    UpstreamId id,
    int executionSlots,
    int queueLimit,
    Duration executionTime,
    int connectionLimit,
    Duration connectCost,
    Duration probeCost,
    GrantChecking grantChecking,
    boolean startsCold,
    UpstreamClock clock) {

  /**
   * Returns a builder with the values of an upstream of the site {@code tavua} that starts warm.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link UpstreamSettings}. */
  public static final class Builder {
    private UpstreamId id;
    private int executionSlots = 4;
    private int queueLimit = 16;
    private Duration executionTime = Duration.ofMillis(2);
    private int connectionLimit = 130;
    private Duration connectCost = Duration.ofMillis(1);
    private Duration probeCost = Duration.ofMillis(6);
    private GrantChecking grantChecking = GrantChecking.checked();
    private boolean startsCold;
    private UpstreamClock clock = UpstreamClock.EXACT;

    private Builder() {}

    /**
     * Sets the upstream.
     *
     * @param id the upstream
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder id(UpstreamId id) {
      this.id = id;
      return this;
    }

    /**
     * Sets the execution slots; 4 if not set.
     *
     * @param executionSlots the number of requests that it executes concurrently
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder executionSlots(int executionSlots) {
      this.executionSlots = executionSlots;
      return this;
    }

    /**
     * Sets the queue limit; 16 if not set.
     *
     * @param queueLimit the maximum number of queued requests
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder queueLimit(int queueLimit) {
      this.queueLimit = queueLimit;
      return this;
    }

    /**
     * Sets the execution time; 2 ms if not set.
     *
     * @param executionTime the duration, in whole milliseconds
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder executionTime(Duration executionTime) {
      this.executionTime = executionTime;
      return this;
    }

    /**
     * Sets the connection limit; 130 if not set.
     *
     * @param connectionLimit the maximum number of open connections
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder connectionLimit(int connectionLimit) {
      this.connectionLimit = connectionLimit;
      return this;
    }

    /**
     * Sets the cost of a new connection; 1 ms if not set.
     *
     * @param connectCost the additional latency, in whole milliseconds
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder connectCost(Duration connectCost) {
      this.connectCost = connectCost;
      return this;
    }

    /**
     * Sets the duration of a health check; 6 ms if not set.
     *
     * @param probeCost the duration, in whole milliseconds
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder probeCost(Duration probeCost) {
      this.probeCost = probeCost;
      return this;
    }

    /**
     * Sets whether requests are checked against grants; they are if not set.
     *
     * @param grantChecking whether requests are checked
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder grantChecking(GrantChecking grantChecking) {
      this.grantChecking = grantChecking;
      return this;
    }

    /**
     * Sets whether instances start cold; warm if not set.
     *
     * @param startsCold whether instances start cold
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder startsCold(boolean startsCold) {
      this.startsCold = startsCold;
      return this;
    }

    /**
     * Sets the clock; exact if not set.
     *
     * @param clock the clock
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder clock(UpstreamClock clock) {
      this.clock = clock;
      return this;
    }

    /**
     * Builds the settings.
     *
     * @return the settings
     * @throws NullPointerException if the id is missing
     */
    public UpstreamSettings build() {
      return new UpstreamSettings(
          checkNotNull(id, "id"),
          executionSlots,
          queueLimit,
          executionTime,
          connectionLimit,
          connectCost,
          probeCost,
          grantChecking,
          startsCold,
          clock);
    }
  }
}
