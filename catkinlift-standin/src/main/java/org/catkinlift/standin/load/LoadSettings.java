package org.catkinlift.standin.load;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;

/**
 * The settings of a load test.
 *
 * @param name the prefix of each request id, which distinguishes runs in the records
 * @param seed the seed of the random sequence of requests and send times
 * @param ratePerSecond the average number of requests per second, regardless of responses
 * @param duration the period during which requests are sent
 * @param targets the servers that receive the requests
 * @param keys the number of distinct keys; keys with low numbers are drawn more often
 * @param orderShare the share of orders, 0 to 1
 * @param downloadShare the share of downloads, 0 to 1; the rest are lookups
 * @param downloadBytes the size of a download
 * @param deadline the time allowed for each response
 */
public record LoadSettings(
    String name,
    long seed,
    double ratePerSecond,
    Duration duration,
    Targets targets,
    int keys,
    double orderShare,
    double downloadShare,
    long downloadBytes,
    Duration deadline) {

  /**
   * Returns a builder with a mix of 70 % lookups, 25 % orders and 5 % downloads of 256 KiB.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link LoadSettings}. */
  public static final class Builder {
    private String name = "load";
    private long seed = 1;
    private double ratePerSecond = 200;
    private Duration duration = Duration.ofSeconds(5);
    private Targets targets;
    private int keys = 1_000;
    private double orderShare = 0.25;
    private double downloadShare = 0.05;
    private long downloadBytes = 256 * 1024;
    private Duration deadline = Duration.ofSeconds(2);

    private Builder() {}

    /**
     * Sets the name; {@code load} if not set.
     *
     * @param name the prefix of each request id
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder name(String name) {
      this.name = name;
      return this;
    }

    /**
     * Sets the seed; 1 if not set.
     *
     * @param seed the seed of the random sequence of requests
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder seed(long seed) {
      this.seed = seed;
      return this;
    }

    /**
     * Sets the rate; 200 if not set.
     *
     * @param ratePerSecond the positive number of requests per second
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder ratePerSecond(double ratePerSecond) {
      this.ratePerSecond = ratePerSecond;
      return this;
    }

    /**
     * Sets the duration; 5 s if not set.
     *
     * @param duration the period during which requests are sent
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder duration(Duration duration) {
      this.duration = duration;
      return this;
    }

    /**
     * Sets the targets.
     *
     * @param targets the servers that receive the requests
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder targets(Targets targets) {
      this.targets = targets;
      return this;
    }

    /**
     * Sets the number of keys; 1,000 if not set.
     *
     * @param keys the number of distinct keys
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder keys(int keys) {
      this.keys = keys;
      return this;
    }

    /**
     * Sets the share of orders; 0.25 if not set.
     *
     * @param orderShare the share, 0 to 1
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder orderShare(double orderShare) {
      this.orderShare = orderShare;
      return this;
    }

    /**
     * Sets the share of downloads; 0.05 if not set.
     *
     * @param downloadShare the share, 0 to 1
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder downloadShare(double downloadShare) {
      this.downloadShare = downloadShare;
      return this;
    }

    /**
     * Sets the size of a download; 256 KiB if not set.
     *
     * @param downloadBytes the size
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder downloadBytes(long downloadBytes) {
      this.downloadBytes = downloadBytes;
      return this;
    }

    /**
     * Sets the deadline; 2 s if not set.
     *
     * @param deadline the time allowed for each response
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder deadline(Duration deadline) {
      this.deadline = deadline;
      return this;
    }

    /**
     * Builds the settings.
     *
     * @return the settings
     * @throws NullPointerException if the targets are missing
     */
    public LoadSettings build() {
      return new LoadSettings(
          name,
          seed,
          ratePerSecond,
          duration,
          checkNotNull(targets, "targets"),
          keys,
          orderShare,
          downloadShare,
          downloadBytes,
          deadline);
    }
  }
}
