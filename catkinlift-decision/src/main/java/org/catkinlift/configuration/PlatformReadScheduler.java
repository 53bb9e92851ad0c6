package org.catkinlift.configuration;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.model.Assignment;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HomeMap;

/**
 * Schedules this daemon's reads of the platform's table.
 *
 * <p>After its start, every daemon reads all rows until the reads succeed or a peer answers. Later
 * only the representatives of cells read: 594 representatives that read the configuration every 2 s
 * use 297 of the platform's 2,000 reads/s.
 */
final class PlatformReadScheduler {
  private static final Duration DEFAULT_READ_INTERVAL = Duration.ofSeconds(2);
  private static final Duration HOME_MAP_READ_INTERVAL = Duration.ofSeconds(10);
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(2);

  /**
   * Limits how long a read without an answer, for example from a faulty adapter, blocks the next.
   */
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

  /** A read whose answer has not arrived. */
  record Read(String prefix, long sentNanos) {}

  private final CallNumbers calls;
  private final Map<Long, Read> outstanding = new HashMap<>();
  private final Map<String, Long> dueNanos = new HashMap<>();
  private boolean wasRepresentative;
  private boolean needsAssignments = true;
  private boolean starting = true;

  PlatformReadScheduler(CallNumbers calls) {
    this.calls = calls;
  }

  /** Records that a peer has advertised its versions, so that values can be pulled from it. */
  void peerAnswered() {
    starting = false;
  }

  ImmutableList<ControlAction> tick(boolean isRepresentative, long nowNanos) {
    outstanding.values().removeIf(r -> nowNanos - r.sentNanos() > ANSWER_TIMEOUT.toNanos());
    if (isRepresentative && !wasRepresentative) {
      needsAssignments = true;
    }
    wasRepresentative = isRepresentative;
    if (!isRepresentative && !starting) {
      return ImmutableList.of();
    }
    var actions = ImmutableList.<ControlAction>builder();
    read(Configuration.NAME, nowNanos).ifPresent(actions::add);
    read(HomeMap.PREFIX, nowNanos).ifPresent(actions::add);
    if (needsAssignments) {
      read(Assignment.PREFIX, nowNanos).ifPresent(actions::add);
    }
    return actions.build();
  }

  private Optional<ControlAction> read(String prefix, long nowNanos) {
    boolean isOutstanding = outstanding.values().stream().anyMatch(r -> r.prefix().equals(prefix));
    if (isOutstanding || nowNanos < dueNanos.getOrDefault(prefix, Long.MIN_VALUE)) {
      return Optional.empty();
    }
    long call = calls.next();
    outstanding.put(call, new Read(prefix, nowNanos));
    dueNanos.put(prefix, nowNanos + interval(prefix).toNanos());
    return Optional.of(new ControlAction.CallPlatform(call, new PlatformRequest.ReadRows(prefix)));
  }

  private static Duration interval(String prefix) {
    return prefix.equals(HomeMap.PREFIX) ? HOME_MAP_READ_INTERVAL : DEFAULT_READ_INTERVAL;
  }

  /** Completes and returns the read of a call; empty for calls of other components. */
  Optional<Read> completed(long call, boolean answered, long nowNanos) {
    Optional<Read> read = Optional.ofNullable(outstanding.remove(call));
    read.ifPresent(r -> recordResult(r.prefix(), answered, nowNanos));
    return read;
  }

  private void recordResult(String prefix, boolean answered, long nowNanos) {
    if (!answered) {
      dueNanos.put(prefix, nowNanos + RETRY_INTERVAL.toNanos());
      return;
    }
    if (prefix.equals(Assignment.PREFIX)) {
      needsAssignments = false;
      starting = false;
    }
  }
}
