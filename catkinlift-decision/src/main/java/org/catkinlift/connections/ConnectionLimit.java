package org.catkinlift.connections;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds the number of open connections to one upstream.
 *
 * <p>Connections count from the decision to open them until they are closed, so that slow attempts
 * to connect count too. Confined to one event loop.
 */
public final class ConnectionLimit {
  /** Reserved, so that a probe is possible when all connections that carry requests are silent. */
  private static final int RESERVED_FOR_PROBES = 1;

  private final int limit;
  private int open;

  /**
   * Creates a limit without open connections.
   *
   * @param limit the number of connections that the upstream accepts, at least 1
   */
  public ConnectionLimit(int limit) {
    checkArgument(limit >= 1, "limit must be at least 1: %s", limit);
    this.limit = limit;
  }

  /**
   * Counts a connection for requests.
   *
   * @return false if none may be opened now; nothing is counted then
   */
  public boolean tryOpenForRequest() {
    return tryOpen(Math.max(1, limit - RESERVED_FOR_PROBES));
  }

  /**
   * Counts a connection for a probe or a control request.
   *
   * @return false if none may be opened now; nothing is counted then
   */
  public boolean tryOpenForProbe() {
    return tryOpen(limit);
  }

  /** Records that a connection was closed or could not be opened. */
  public void closed() {
    open = Math.max(0, open - 1);
  }

  /**
   * Returns the number of connections that are open or being opened.
   *
   * @return the number of connections
   */
  public int open() {
    return open;
  }

  private boolean tryOpen(int bound) {
    if (open >= bound) {
      return false;
    }
    open++;
    return true;
  }
}
