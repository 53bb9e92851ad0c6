package org.catkinlift.standin.platform;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;

/**
 * States how the platform misbehaves.
 *
 * @param outage whether every request fails without effect
 * @param delay the time that each answer waits after the request took effect
 * @param loseEveryNth every n-th transaction takes effect but its answer is lost; 0 for none
 * @param loseNext the number of coming transactions that take effect and whose answer is lost
 * @param hostListLag how far the host list is behind the real state
 */
public record PlatformFaults(
    boolean outage, Duration delay, int loseEveryNth, int loseNext, Duration hostListLag) {

  /** No misbehaviour. */
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
   * Returns a builder that starts from these faults.
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
     * Sets the time that each answer waits.
     *
     * @param delay the time, not negative
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder delay(Duration delay) {
      this.delay = delay;
      return this;
    }

    /**
     * Sets how often the answer to a transaction is lost.
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
     * Sets how many coming transactions lose their answer.
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
     * Sets how far the host list is behind.
     *
     * @param hostListLag the time, not negative
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
