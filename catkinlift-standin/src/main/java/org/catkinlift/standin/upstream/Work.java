package org.catkinlift.standin.upstream;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import org.catkinlift.model.Epoch;

/**
 * A request that an upstream has received.
 *
 * @param number the sequence number of the request within the upstream
 * @param requestId the caller's request id
 * @param task the operation to perform
 * @param slot the slot named by the dispatcher; -1 if none
 * @param epoch the epoch named by the dispatcher
 * @param dispatcher the host that sent the request; empty if not given
 * @param requiresGrant whether it may run only if a grant covers it
 * @param startBeforeNanos the monotonic time from which it may no longer start
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

  /** The slot of a request that does not name a slot. */
  public static final int NO_SLOT = -1;

  /**
   * Returns a builder for a request that requires no grant and has no slot and no time limit.
   *
   * @param number the sequence number of the request within the upstream
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
     * @param task the operation to perform
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
     * @param slot the slot named by the dispatcher
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
     * @param epoch the epoch named by the dispatcher
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
     * Sets whether the request requires a grant.
     *
     * @param requiresGrant whether it may run only if a grant covers it
     * @return this builder
     */
    @CanIgnoreReturnValue
    public Builder requiresGrant(boolean requiresGrant) {
      this.requiresGrant = requiresGrant;
      return this;
    }

    /**
     * Sets the time from which the request may no longer start.
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
