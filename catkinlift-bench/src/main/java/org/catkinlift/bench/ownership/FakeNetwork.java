package org.catkinlift.bench.ownership;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.catkinlift.timer.VirtualTimerService;

/** Delivers between named nodes with a delay, unless a cut separates them. */
public final class FakeNetwork {
  /** The one-way latency of both sites. */
  public static final Duration LATENCY = Duration.ofMillis(1);

  private final VirtualTimerService timers;
  private final List<ImmutableSet<String>> cuts = new ArrayList<>();
  private final Map<String, Duration> extraDelays = new HashMap<>();

  FakeNetwork(VirtualTimerService timers) {
    this.timers = timers;
  }

  /**
   * Separates nodes from all others.
   *
   * @param side the nodes of one side
   */
  public void cut(ImmutableSet<String> side) {
    cuts.add(side);
  }

  /** Ends all cuts and delays. */
  public void heal() {
    cuts.clear();
    extraDelays.clear();
  }

  /**
   * Delays everything that is sent to a node, as a buffer would.
   *
   * @param to the node
   * @param delay the additional delay
   */
  public void delay(String to, Duration delay) {
    extraDelays.put(to, delay);
  }

  boolean connects(String from, String to) {
    return cuts.stream().allMatch(side -> side.contains(from) == side.contains(to));
  }

  void send(String from, String to, Runnable delivery) {
    if (connects(from, to)) {
      timers.after(LATENCY.plus(extraDelays.getOrDefault(to, Duration.ZERO)), delivery);
    }
  }
}
