package org.catkinlift.standin.platform;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;

/**
 * The faults injected into the platform.
 *
 * @param outage whether every request fails without effect
 * @param delay the time by which each response is delayed after the request took effect
 * @param loseEveryNth the interval at which transactions take effect but lose their response; 0 for
 *     never
 * @param loseNext the number of upcoming transactions that take effect but lose their response
 * @param hostListLag how far the host list lags behind the actual state
 */
public record PlatformFaults(
    boolean outage, Duration delay, int loseEveryNth, int loseNext, Duration hostListLag) {

  /** No faults. */
  public static final PlatformFaults NONE = builder().build();

  /**
   * Returns a builder without faults.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns a builder initialized with these faults.
   *
   * @return the builder
   */
  public Builder toBuilder() {
    return new Builder()
        .outage(outage)
        .delay(delay)
        .loseEveryNth(loseEveryNth)
        .loseNext(loseNext)
        .hostListLag(hostListLag);
  }

  /** Builds {@link PlatformFaults}. */
  public static final class Builder {
    private boolean outage;
    private Duration delay = Duration.ZERO;
    private int loseEveryNth;
    private int loseNext;
    private Duration hostListLag = Duration.ZERO;

    private Builder() {}

    /**
     * Sets whether every request fails.
     *
     * @param outage true during an outage
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder outage(boolean outage) {
      this.outage = outage;
      return this;
    }

    /**
     * Sets the time by which each response is delayed.
     *
     * @param delay the non-negative delay
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder delay(Duration delay) {
      this.delay = delay;
      return this;
    }

    /**
     * Sets how often the response to a transaction is lost.
     *
     * @param loseEveryNth the interval in transactions; 0 for never
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder loseEveryNth(int loseEveryNth) {
      this.loseEveryNth = loseEveryNth;
      return this;
    }

    /**
     * Sets how many upcoming transactions lose their response.
     *
     * @param loseNext the number of transactions
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder loseNext(int loseNext) {
      this.loseNext = loseNext;
      return this;
    }

    /**
     * Sets how far the host list lags behind.
     *
     * @param hostListLag the non-negative lag
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder hostListLag(Duration hostListLag) {
      this.hostListLag = hostListLag;
      return this;
    }

    /**
     * Builds the faults.
     *
     * @return the faults
     */
    public PlatformFaults build() {
      return new PlatformFaults(outage, delay, loseEveryNth, loseNext, hostListLag);
    }
  }
}
