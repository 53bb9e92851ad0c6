package org.catkinlift.standin.upstream;

import com.google.common.collect.ImmutableSet;
import io.vertx.core.http.HttpConnection;
import java.util.HashSet;
import java.util.Set;

/** Tracks the open connections of one port. Confined to the event loop. */
final class ConnectionTable {

  private final int limit;
  private final Set<HttpConnection> open = new HashSet<>();
  private final Set<HttpConnection> unused = new HashSet<>();
  private final Set<HttpConnection> silent = new HashSet<>();

  ConnectionTable(int limit) {
    this.limit = limit;
  }

  /** Registers a connection, or closes it if the connection limit is reached. */
  void opened(HttpConnection connection) {
    if (open.size() >= limit) {
      var unused = connection.close();
      return;
    }
    open.add(connection);
    unused.add(connection);
    connection.closeHandler(v -> closed(connection));
  }

  /**
   * Returns whether this is the first request on a connection, and marks the connection as used.
   * The first request bears the cost of opening the connection.
   */
  boolean claimFirstUse(HttpConnection connection) {
    return unused.remove(connection);
  }

  /** Marks all open connections as silent until they close; returns their number. */
  int silenceAll() {
    silent.addAll(open);
    return open.size();
  }

  boolean isSilent(HttpConnection connection) {
    return silent.contains(connection);
  }

  void closeAll() {
    ImmutableSet.copyOf(open).forEach(HttpConnection::close);
  }

  private void closed(HttpConnection connection) {
    open.remove(connection);
    unused.remove(connection);
    silent.remove(connection);
  }
}
