package org.catkinlift.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Limits the bytes that are held for callers: bytes of requests that were received and not
 * forwarded, and bytes of responses that the caller has not read. Not thread-safe.
 *
 * <p>While the budget is exceeded, connections that hold bytes are paused. A connection that makes
 * no progress is closed in favour of the others: the one with the largest product of its bytes and
 * the time for which it has held them.
 *
 * @param <C> the type of connections
 */
public final class ByteBudget<C> {
  /** The time without progress after which a connection may be closed in favour of others. */
  private static final Duration STALL_TIME = Duration.ofMillis(500);

  /**
   * The share of the budget above which a connection is closed even if it makes progress. What was
   * already received when reading is paused must fit between the budget and this share.
   */
  private static final double MAX_OVERRUN = 1.25;

  private final long capacityBytes;
  private final Map<C, Holding> holdings = new HashMap<>();
  private long heldBytes;

  /**
   * Creates a budget.
   *
   * @param capacityBytes the number of bytes that may be held
   */
  public ByteBudget(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /**
   * What one connection holds.
   *
   * @param sinceNanos when the connection last gave bytes back, or got its first ones
   */
  private record Holding(long bytes, long sinceNanos) {
    double score(long nowNanos) {
      return (double) bytes * Math.max(1, nowNanos - sinceNanos);
    }
  }

  /**
   * What to do after a change of what a connection holds.
   *
   * @param <C> the type of connections
   */
  public sealed interface Decision<C> {
    /**
     * The connection may hold its bytes and receive more.
     *
     * @param <C> the type of connections
     */
    record Granted<C>() implements Decision<C> {}

    /**
     * Nothing more may be read from the connection until {@link #hasCapacity()}.
     *
     * @param <C> the type of connections
     */
    record Pause<C>() implements Decision<C> {}

    /**
     * A connection must be closed, which may be another one.
     *
     * @param holder the connection
     * @param <C> the type of connections
     */
    record Close<C>(C holder) implements Decision<C> {}
  }

  /**
   * Records what a connection holds.
   *
   * @param connection the connection
   * @param bytes the number of bytes that it holds now
   * @param nowNanos the current time
   * @return what to do about it
   */
  public Decision<C> update(C connection, long bytes, long nowNanos) {
    Holding previous = holdings.get(connection);
    long previousBytes = previous == null ? 0 : previous.bytes();
    heldBytes += bytes - previousBytes;
    if (bytes == 0) {
      holdings.remove(connection);
      return new Decision.Granted<>();
    }
    boolean progressed = previous == null || bytes < previousBytes;
    holdings.put(connection, new Holding(bytes, progressed ? nowNanos : previous.sinceNanos()));
    if (hasCapacity()) {
      return new Decision.Granted<>();
    }
    Optional<C> stalled = connectionToClose(nowNanos);
    return stalled.isPresent() ? new Decision.Close<>(stalled.get()) : new Decision.Pause<>();
  }

  /**
   * Returns the connection that must be closed because the budget is exceeded.
   *
   * @param nowNanos the current time
   * @return the connection; empty if there is capacity, or if all connections make progress
   */
  public Optional<C> connectionToClose(long nowNanos) {
    if (hasCapacity()) {
      return Optional.empty();
    }
    boolean anyMayClose = heldBytes > capacityBytes * MAX_OVERRUN;
    C worst = null;
    double worstScore = 0;
    for (Map.Entry<C, Holding> entry : holdings.entrySet()) {
      Holding holding = entry.getValue();
      boolean mayClose = anyMayClose || nowNanos - holding.sinceNanos() >= STALL_TIME.toNanos();
      if (mayClose && holding.score(nowNanos) > worstScore) {
        worst = entry.getKey();
        worstScore = holding.score(nowNanos);
      }
    }
    return Optional.ofNullable(worst);
  }

  /**
   * Returns whether more bytes may be held.
   *
   * @return whether paused connections may be read from again
   */
  public boolean hasCapacity() {
    return heldBytes <= capacityBytes;
  }

  /**
   * Returns the number of bytes that all connections hold.
   *
   * @return the number of bytes
   */
  public long heldBytes() {
    return heldBytes;
  }
}
