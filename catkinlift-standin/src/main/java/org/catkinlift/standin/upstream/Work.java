package org.catkinlift.standin.upstream;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import org.catkinlift.model.Epoch;

/**
 * A request in the care of an upstream.
 *
 * @param number numbers the requests of this upstream
 * @param requestId the caller's request id
 * @param task what to do
 * @param slot the slot that the dispatcher named; -1 if none
 * @param epoch the epoch that the dispatcher named
 * @param dispatcher the host that sent the request; empty if it named none
 * @param requiresGrant whether it runs only under a grant that fits it
 * @param startBeforeNanos when it may no longer start
 */
public record Work(
    long number,
    String requestId,
    Task task,
    int slot,
    Epoch epoch,
    String dispatcher,
    boolean requiresGrant,
    long startBeforeNanos) {

  /** The slot of a request that names none. */
  public static final int NO_SLOT = -1;

  /**
   * Returns a builder for an unchecked request without a slot and without a time limit.
   *
   * @param number numbers the requests of this upstream
   * @return the builder
   */
  public static Builder builder(long number) {
    return new Builder(number);
  }

  /** Builds {@link Work}. */
  public static final class Builder {
    private final long number;
    private String requestId = "";
    private Task task;
    private int slot = NO_SLOT;
    private Epoch epoch = Epoch.NONE;
    private String dispatcher = "";
    private boolean requiresGrant;
    private long startBeforeNanos = Long.MAX_VALUE;

    private Builder(long number) {
      this.number = number;
    }

    /**
     * Sets the request id.
     *
     * @param requestId the caller's request id
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder requestId(String requestId) {
      this.requestId = requestId;
      return this;
    }

    /**
     * Sets the task.
     *
     * @param task what to do
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder task(Task task) {
      this.task = task;
      return this;
    }

    /**
     * Sets the slot.
     *
     * @param slot the slot that the dispatcher named
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder slot(int slot) {
      this.slot = slot;
      return this;
    }

    /**
     * Sets the epoch.
     *
     * @param epoch the epoch that the dispatcher named
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder epoch(Epoch epoch) {
      this.epoch = epoch;
      return this;
    }

    /**
     * Sets the dispatcher.
     *
     * @param dispatcher the host that sent the request
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder dispatcher(String dispatcher) {
      this.dispatcher = dispatcher;
      return this;
    }

    /**
     * Sets whether the request needs a grant.
     *
     * @param requiresGrant whether it does
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder requiresGrant(boolean requiresGrant) {
      this.requiresGrant = requiresGrant;
      return this;
    }

    /**
     * Sets when the request may no longer start.
     *
     * @param startBeforeNanos the monotonic time of this process
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder startBeforeNanos(long startBeforeNanos) {
      this.startBeforeNanos = startBeforeNanos;
      return this;
    }

    /**
     * Builds the request.
     *
     * @return the request
     * @throws NullPointerException if the task is missing
     */
    public Work build() {
      return new Work(
          number,
          requestId,
          checkNotNull(task, "task"),
          slot,
          epoch,
          dispatcher,
          requiresGrant,
          startBeforeNanos);
    }
  }
}
