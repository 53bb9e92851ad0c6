package org.catkinlift.ranges;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** The load of the tracked keys. The busiest keys change, so that ranges are moved and divided. */
final class SimulatedLoad {
  private static final Duration CHANGE_INTERVAL = Duration.ofSeconds(4);
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
  private static final double MAX_USUAL_BUSY_SLOTS = 0.3;
  private static final double MAX_HOT_BUSY_SLOTS = 3;

  private final SimulationEnvironment environment;
  private final Map<Integer, Double> busySlots = new HashMap<>();
  private boolean changing = true;

  SimulatedLoad(SimulationEnvironment environment) {
    this.environment = environment;
    change();
    environment.every(CHANGE_INTERVAL, this::change);
  }

  /** Keeps the load as it is now. */
  void stopChanging() {
    changing = false;
  }

  private void change() {
    if (!changing) {
      return;
    }
    for (int key : KeySample.KEYS) {
      double max = KeySample.HOT_KEYS.contains(key) ? MAX_HOT_BUSY_SLOTS : MAX_USUAL_BUSY_SLOTS;
      busySlots.put(key, environment.random().nextDouble() * max);
    }
  }

  /** Adds the load of some time to a measurement. */
  void addTo(KeyLoad load, Duration time) {
    double seconds = time.toNanos() / NANOS_PER_SECOND;
    KeySample.KEYS.forEach(key -> load.add(key, busySlots.get(key) * seconds));
  }
}
