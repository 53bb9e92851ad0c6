package org.catkinlift.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.routing.RoutingSnapshot;

/** Publishes the routing state from the control thread to the traffic threads. */
public final class RoutingStateHolder {
  private final Queue<Runnable> changeListeners = new ConcurrentLinkedQueue<>();

  /** Written by the control thread only. */
  private volatile RoutingState state;

  /**
   * Creates a holder with an empty state.
   *
   * @param self the host of the daemon
   */
  public RoutingStateHolder(HostId self) {
    this.state = new RoutingState(RoutingSnapshot.empty(self), ImmutableMap.of(), 0);
  }

  /**
   * Returns the current state. May be called on any thread.
   *
   * @return the state
   */
  public RoutingState current() {
    return state;
  }

  /**
   * Replaces the state and calls the listeners registered for the next change. Control thread only.
   *
   * @param snapshot the new snapshot
   * @param hosts the known daemons
   */
  public void publish(RoutingSnapshot snapshot, ImmutableMap<HostId, HostDefinition> hosts) {
    state = new RoutingState(snapshot, hosts, state.generation() + 1);
    var listeners = ImmutableList.<Runnable>builder();
    for (Runnable r = changeListeners.poll(); r != null; r = changeListeners.poll()) {
      listeners.add(r);
    }
    listeners.build().forEach(Runnable::run);
  }

  /**
   * Registers a listener that is called once, after the next change.
   *
   * @param listener the listener; runs on the control thread, so it must not block and should only
   *     schedule work on its own thread
   */
  public void onNextChange(Runnable listener) {
    changeListeners.add(listener);
  }
}
