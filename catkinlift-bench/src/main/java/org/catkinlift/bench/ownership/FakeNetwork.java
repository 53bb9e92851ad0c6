package org.catkinlift.bench.ownership;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.catkinlift.timer.VirtualTimerService;

/** Delivers between named nodes with a delay, unless a cut separates them. */
final class FakeNetwork {
  /** The one-way latency of both sites. */
  static final Duration LATENCY = Duration.ofMillis(1);

  private final VirtualTimerService timers;
  private final List<ImmutableSet<String>> cuts = new ArrayList<>();
  private final List<ImmutableSet<String>> peerCuts = new ArrayList<>();
  private final Map<String, Duration> extraDelays = new HashMap<>();

  FakeNetwork(VirtualTimerService timers) {
    this.timers = timers;
  }

  void cut(ImmutableSet<String> side) {
    cuts.add(side);
  }

  /** Separates nodes from all others but the platform. */
  void cutFromPeers(ImmutableSet<String> side) {
    peerCuts.add(side);
  }

  /** Ends all cuts and delays. */
  void heal() {
    cuts.clear();
    peerCuts.clear();
    extraDelays.clear();
  }

  void delay(String to, Duration delay) {
    extraDelays.put(to, delay);
  }

  boolean connects(String from, String to) {
    boolean platform = from.equals(FakePlatform.NODE) || to.equals(FakePlatform.NODE);
    boolean peers = platform || peerCuts.stream().allMatch(s -> s.contains(from) == s.contains(to));
    return peers && cuts.stream().allMatch(side -> side.contains(from) == side.contains(to));
  }

  void send(String from, String to, Runnable delivery) {
    if (connects(from, to)) {
      timers.after(LATENCY.plus(extraDelays.getOrDefault(to, Duration.ZERO)), delivery);
    }
  }
}
