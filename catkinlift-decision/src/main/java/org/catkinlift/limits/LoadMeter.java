package org.catkinlift.limits;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Measures the offered load of each slot and of the hottest keys of one upstream, as decayed rates
 * with a half-life of 30 s. Confined to one event loop.
 */
final class LoadMeter {
  private static final int NO_SLOT = -1;

  /** Slots with a lower rate are omitted from reports. */
  private static final double MIN_RATE_PER_SECOND = 0.01;

  /**
   * A slot whose sum has decayed below this value is removed, since it may have moved to another
   * upstream.
   */
  private static final double NEGLIGIBLE_SUM = 1e-9;

  private final ForwardDecay decay;
  private final HotKeyCounter keys = new HotKeyCounter();
  private final Map<Integer, Double> slotSums = new TreeMap<>();

  LoadMeter(long nowNanos) {
    this.decay = new ForwardDecay(nowNanos);
  }

  void offered(int slot, String key, long nowNanos) {
    if (slot == NO_SLOT) {
      return;
    }
    if (decay.needsRescale(nowNanos)) {
      rescale(nowNanos);
    }
    double weight = decay.weight(nowNanos);
    slotSums.merge(slot, weight, Double::sum);
    keys.add(key, weight);
  }

  ImmutableMap<Integer, Double> slotLoads(long nowNanos) {
    var loads = ImmutableMap.<Integer, Double>builder();
    slotSums.forEach(
        (slot, sum) -> {
          double rate = decay.ratePerSecond(sum, nowNanos);
          if (rate >= MIN_RATE_PER_SECOND) {
            loads.put(slot, rate);
          }
        });
    return loads.buildOrThrow();
  }

  ImmutableMap<String, Double> keyLoads(long nowNanos) {
    var loads = ImmutableMap.<String, Double>builder();
    keys.hottest().forEach((key, sum) -> loads.put(key, decay.ratePerSecond(sum, nowNanos)));
    return loads.buildOrThrow();
  }

  private void rescale(long nowNanos) {
    double factor = decay.rescale(nowNanos);
    slotSums.replaceAll((slot, sum) -> sum * factor);
    slotSums.values().removeIf(sum -> sum < NEGLIGIBLE_SUM);
    keys.scale(factor);
  }
}
