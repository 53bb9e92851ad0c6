package org.catkinlift.standin.upstream;

import com.google.common.collect.ImmutableSet;
import io.vertx.core.http.HttpConnection;
import java.util.HashSet;
import java.util.Set;

/** Knows the open connections of one port. Confined to the event loop. */
final class ConnectionTable {

  private final int limit;
  private final Set<HttpConnection> open = new HashSet<>();
  private final Set<HttpConnection> unused = new HashSet<>();
  private final Set<HttpConnection> silent = new HashSet<>();

  ConnectionTable(int limit) {
    this.limit = limit;
  }

  /** Accepts a connection, or closes it if there are too many. */
  void opened(HttpConnection connection) {
    if (open.size() >= limit) {
      var unused = connection.close();
      return;
    }
    open.add(connection);
    unused.add(connection);
    connection.closeHandler(v -> closed(connection));
  }

  /** Tells whether this is the first request on a connection, which pays for its opening. */
  boolean claimFirstUse(HttpConnection connection) {
    return unused.remove(connection);
  }

  /** Lets all open connections go silent for good. */
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
