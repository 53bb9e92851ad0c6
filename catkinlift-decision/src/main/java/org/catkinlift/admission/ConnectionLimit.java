package org.catkinlift.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Limits the number of callers' connections. At the limit, a new connection replaces one that is
 * not in use, so that clients that only keep connections open do not shut others out.
 */
public final class ConnectionLimit {
  private final int maxConnections;

  /**
   * Creates a limit.
   *
   * @param maxConnections the maximum number of connections
   */
  public ConnectionLimit(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** How a connection is used. */
  public enum Use {
    /** A request was received in part. */
    RECEIVING,
    /** No request is in progress. */
    IDLE,
    /** A request is executed or its response is sent. */
    ANSWERING
  }

  /**
   * An open connection.
   *
   * @param connection the connection
   * @param use how it is used
   * @param sinceNanos when its unfinished request began, or when it became idle
   * @param <C> the type of connections
   */
  public record Candidate<C>(C connection, Use use, long sinceNanos) {}

  /**
   * Returns whether another connection exceeds the limit.
   *
   * @param openConnections the number of open connections, with the new one
   * @return whether one of them must be closed
   */
  public boolean isExceeded(int openConnections) {
    return openConnections > maxConnections;
  }

  /**
   * Chooses the connection that is closed in favour of a new one: that with the oldest unfinished
   * request, or else the one that has been idle for the longest time.
   *
   * @param candidates the open connections, without the new one
   * @param <C> the type of connections
   * @return the connection; empty if all are answering requests
   */
  public static <C> Optional<C> replaceable(Collection<Candidate<C>> candidates) {
    return candidates.stream()
        .filter(c -> c.use() != Use.ANSWERING)
        .min(
            Comparator.comparing((Candidate<C> c) -> c.use())
                .thenComparingLong(Candidate::sinceNanos))
        .map(Candidate::connection);
  }
}
