package org.catkinlift.ranges;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.catkinlift.model.NetworkAddress;

/**
 * The kept connections of one daemon process to upstreams. A connection delivers an answer to the
 * call that is in progress on it, whichever call the answer is for.
 */
final class SimulatedConnections {
  private static final Duration MAX_IDLE = Duration.ofSeconds(3);

  /**
   * A response on a connection.
   *
   * @param result what the call ended with for which the upstream sent the response
   * @param isFromOtherUpstream whether the upstream is not the one that the call was meant for
   */
  record Response(GrantResult result, boolean isFromOtherUpstream) {}

  private final SimulationEnvironment environment;
  private final Map<NetworkAddress, Deque<Connection>> idle = new HashMap<>();

  SimulatedConnections(SimulationEnvironment environment) {
    this.environment = environment;
  }

  Connection open(NetworkAddress address, UpstreamProcess process) {
    return new Connection(address, process);
  }

  /** Returns the connection that was used last, if it is not idle for too long. */
  Optional<Connection> takeIdle(NetworkAddress address, UpstreamProcess process) {
    Deque<Connection> connections = idle.getOrDefault(address, new ArrayDeque<>());
    while (!connections.isEmpty()) {
      Connection connection = connections.pop();
      if (connection.isUsable(process)) {
        return Optional.of(connection);
      }
      connection.close();
    }
    return Optional.empty();
  }

  /** A connection with at most one call in progress. */
  final class Connection {
    private final NetworkAddress address;
    private final UpstreamProcess process;
    private Optional<Consumer<Response>> pendingCall = Optional.empty();
    private boolean open = true;
    private long idleSinceNanos;

    private Connection(NetworkAddress address, UpstreamProcess process) {
      this.address = address;
      this.process = process;
    }

    private boolean isUsable(UpstreamProcess expected) {
      return open
          && process == expected
          && environment.nowNanos() - idleSinceNanos < MAX_IDLE.toNanos();
    }

    boolean isOpenTo(UpstreamProcess expected) {
      return open && process == expected;
    }

    void callStarted(Consumer<Response> onAnswer) {
      pendingCall = Optional.of(onAnswer);
    }

    /** Takes an answer for the call in progress. Bytes without a call close the connection. */
    void received(Response response, boolean isLast) {
      if (!open) {
        return;
      }
      if (pendingCall.isEmpty()) {
        close();
        return;
      }
      Consumer<Response> call = pendingCall.get();
      pendingCall = Optional.empty();
      if (isLast) {
        close();
      } else {
        idleSinceNanos = environment.nowNanos();
        idle.computeIfAbsent(address, a -> new ArrayDeque<>()).push(this);
      }
      call.accept(response);
    }

    /** Resets the connection, which discards a call that has not arrived. */
    void close() {
      open = false;
    }
  }
}
