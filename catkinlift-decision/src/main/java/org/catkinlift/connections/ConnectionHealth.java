package org.catkinlift.connections;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.catkinlift.connections.ConnectionAction.DropAnswer;
import org.catkinlift.connections.ConnectionAction.ProbeNewConnection;
import org.catkinlift.connections.ConnectionAction.Retire;
import org.catkinlift.limits.LatencyTracker;

/**
 * Detects silent connections to one upstream, and answers that are late or belong to another
 * request.
 *
 * <p>A connection carries one attempt at a time. It is silent if its answer is overdue and another
 * connection has answered since the attempt was sent. Only this connection is retired; the upstream
 * is not treated as faulty. Confined to one event loop.
 */
public final class ConnectionHealth {
  private static final Duration MIN_OVERDUE_LIMIT = Duration.ofMillis(200);
  private static final int P99 = 99;
  private static final int P99_FACTOR = 4;

  /** Firewalls and NAT devices drop the state of idle connections without notice. */
  private static final Duration PROBE_AFTER_IDLE = Duration.ofSeconds(30);

  private final Map<Long, TrackedConnection> connections = new LinkedHashMap<>();
  private final LatencyTracker latencies = new LatencyTracker();
  private long lastAnswerNanos = Long.MIN_VALUE;
  private long probeDueNanos = Long.MIN_VALUE;

  /** Creates an instance that tracks no connections. */
  public ConnectionHealth() {}

  /**
   * Adds an open connection.
   *
   * @param connection the connection, unique within this instance
   * @param nowNanos the time
   */
  public void opened(long connection, long nowNanos) {
    connections.put(connection, TrackedConnection.idle(nowNanos));
  }

  /**
   * Returns whether a connection has to be probed before it carries a request.
   *
   * @param connection an idle connection
   * @param nowNanos the time
   * @return true if it has been idle for more than 30 s or is unknown
   */
  public boolean needsProbe(long connection, long nowNanos) {
    TrackedConnection tracked = connections.get(connection);
    return tracked == null || nowNanos - tracked.sinceNanos() > PROBE_AFTER_IDLE.toNanos();
  }

  /**
   * Records that an attempt was written to a connection.
   *
   * @param connection the connection; added if it is new
   * @param attempt the attempt, unique within the daemon
   * @param nowNanos the time
   * @param remainingDeadline the time until the caller's deadline
   */
  public void sent(long connection, long attempt, long nowNanos, Duration remainingDeadline) {
    long overdue = Math.min(overdueLimit().toNanos(), remainingDeadline.toNanos() / 2);
    connections.put(connection, TrackedConnection.busy(attempt, nowNanos, nowNanos + overdue));
  }

  /**
   * Records that the caller of an attempt no longer waits; its answer will be late.
   *
   * @param connection the connection
   * @param attempt the attempt
   */
  public void abandoned(long connection, long attempt) {
    connections.computeIfPresent(
        connection, (id, tracked) -> tracked.carries(attempt) ? tracked.abandon() : tracked);
  }

  /**
   * Records the start of an answer.
   *
   * @param connection the connection on which it arrived
   * @param attempt the attempt that it names
   * @param nowNanos the time
   * @return empty if the answer goes to its caller, else {@link DropAnswer} and, unless the
   *     connection is unknown, {@link Retire}
   */
  public ImmutableList<ConnectionAction> answered(long connection, long attempt, long nowNanos) {
    TrackedConnection tracked = connections.get(connection);
    if (tracked == null) {
      return ImmutableList.of(new DropAnswer(connection, attempt));
    }
    if (!tracked.carries(attempt) || tracked.abandoned()) {
      connections.remove(connection);
      return ImmutableList.of(new DropAnswer(connection, attempt), new Retire(connection));
    }
    latencies.record(Duration.ofNanos(nowNanos - tracked.sinceNanos()));
    lastAnswerNanos = nowNanos;
    connections.put(connection, TrackedConnection.idle(nowNanos));
    return ImmutableList.of();
  }

  /**
   * Records that a connection is closed.
   *
   * @param connection the connection
   */
  public void closed(long connection) {
    connections.remove(connection);
  }

  /**
   * Detects silent connections.
   *
   * @param nowNanos the time
   * @return the silent connections to retire, or a probe if only an answer on a new connection can
   *     tell a silent connection from a slow upstream
   */
  public ImmutableList<ConnectionAction> tick(long nowNanos) {
    ImmutableList<Long> overdue =
        connections.entrySet().stream()
            .filter(e -> e.getValue().isOverdue(nowNanos))
            .map(Map.Entry::getKey)
            .collect(toImmutableList());
    if (overdue.isEmpty()) {
      return ImmutableList.of();
    }
    ImmutableList<Long> silent =
        overdue.stream().filter(this::anotherHasAnsweredSince).collect(toImmutableList());
    silent.forEach(connections::remove);
    Stream<ConnectionAction> probe =
        silent.size() < overdue.size() ? probe(nowNanos) : Stream.empty();
    return Stream.concat(silent.stream().map(Retire::new), probe).collect(toImmutableList());
  }

  /**
   * Returns how long an answer may take before its connection is suspected.
   *
   * @return four times the p99 of the upstream's answers, at least 200 ms
   */
  public Duration overdueLimit() {
    Duration limit = latencies.percentile(P99).multipliedBy(P99_FACTOR);
    return limit.compareTo(MIN_OVERDUE_LIMIT) < 0 ? MIN_OVERDUE_LIMIT : limit;
  }

  /**
   * An answer later than the attempt is from another connection, since a connection that carries an
   * attempt has answered only earlier ones.
   */
  private boolean anotherHasAnsweredSince(long connection) {
    return lastAnswerNanos > connections.get(connection).sinceNanos();
  }

  private Stream<ConnectionAction> probe(long nowNanos) {
    if (nowNanos < probeDueNanos) {
      return Stream.empty();
    }
    probeDueNanos = nowNanos + overdueLimit().toNanos();
    return Stream.of(new ProbeNewConnection());
  }
}
