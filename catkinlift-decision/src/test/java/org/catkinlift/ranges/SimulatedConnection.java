package org.catkinlift.ranges;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * A connection from a daemon to an upstream. It delivers a response to the call that is in progress
 * on it, whichever call the response is for, and is closed after the first one unless it is kept.
 */
final class SimulatedConnection {
  private final UpstreamProcess process;
  private final boolean kept;
  private Optional<Consumer<Response>> pendingCall = Optional.empty();
  private boolean open = true;

  /**
   * A response on a connection.
   *
   * @param result what the call ended with for which the upstream sent the response
   * @param isFromOtherUpstream whether the upstream is not the one that the call was meant for
   */
  record Response(GrantResult result, boolean isFromOtherUpstream) {}

  SimulatedConnection(UpstreamProcess process, boolean kept) {
    this.process = process;
    this.kept = kept;
  }

  boolean isOpenTo(UpstreamProcess expected) {
    return open && process == expected;
  }

  boolean isIdle() {
    return open && pendingCall.isEmpty();
  }

  void callStarted(Consumer<Response> onAnswer) {
    pendingCall = Optional.of(onAnswer);
  }

  /** Takes a response for the call in progress. Bytes without a call close the connection. */
  void received(Response response) {
    if (!open) {
      return;
    }
    Optional<Consumer<Response>> call = pendingCall;
    pendingCall = Optional.empty();
    if (!kept || call.isEmpty()) {
      close();
    }
    call.ifPresent(c -> c.accept(response));
  }

  /** Resets the connection, which discards a call that has not arrived. */
  void close() {
    open = false;
  }
}
