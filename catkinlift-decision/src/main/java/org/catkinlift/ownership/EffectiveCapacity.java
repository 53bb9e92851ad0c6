package org.catkinlift.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;

/**
 * Computes the effective capacity of each upstream of a cell from its configured and its current
 * limit.
 *
 * <p>The lower current limit of an upstream that has been warm is used only after 20 s, so that a
 * short slowdown moves no slots. For an upstream that has not been warm, the current limit is used
 * immediately.
 */
final class EffectiveCapacity {
  private static final Duration SLOW_AFTER = Duration.ofSeconds(20);

  private final Map<UpstreamId, State> states = new HashMap<>();

  private record State(int limit, boolean wasWarm, long belowSince) {}

  void onLimitReported(UpstreamDefinition upstream, int currentLimit, long nowNanos) {
    State previous = states.get(upstream.id());
    if (currentLimit >= upstream.concurrencyLimit()) {
      states.put(upstream.id(), new State(upstream.concurrencyLimit(), true, nowNanos));
      return;
    }
    boolean wasWarm = previous != null && previous.wasWarm;
    long since = previous != null && !isFull(previous, upstream) ? previous.belowSince : nowNanos;
    states.put(upstream.id(), new State(currentLimit, wasWarm, since));
  }

  /** Resets the state of a lost upstream, which starts cold when it returns. */
  void lost(UpstreamId upstream) {
    states.put(upstream, new State(1, false, Long.MIN_VALUE / 4));
  }

  double of(UpstreamDefinition upstream, long nowNanos) {
    State state = states.get(upstream.id());
    if (state == null || isFull(state, upstream)) {
      return upstream.concurrencyLimit();
    }
    boolean brieflySlow = state.wasWarm && nowNanos - state.belowSince < SLOW_AFTER.toNanos();
    return brieflySlow ? upstream.concurrencyLimit() : Math.max(1, state.limit);
  }

  private static boolean isFull(State state, UpstreamDefinition upstream) {
    return state.limit >= upstream.concurrencyLimit();
  }
}
