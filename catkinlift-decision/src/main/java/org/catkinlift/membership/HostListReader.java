package org.catkinlift.membership;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.control.CallNumbers;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.model.HostId;

/**
 * Decides when this daemon reads the platform's host list.
 *
 * <p>Every daemon reads it once after its start; after that only the first live daemons of a cell
 * do. Two of 594 cells every 10 s are 119 reads/s, while all 19,000 daemons would need 1,900 of the
 * platform's 2,000 reads/s.
 */
final class HostListReader {
  static final Duration INTERVAL = Duration.ofSeconds(10);
  private static final int READERS_PER_CELL = 2;

  private final HostId self;
  private final CallNumbers calls;
  private long dueNanos = Long.MIN_VALUE;
  private long lastCall = -1;
  private boolean hasRead;

  HostListReader(HostId self, CallNumbers calls) {
    this.self = self;
    this.calls = calls;
  }

  Optional<ControlAction> tick(ImmutableSet<HostId> liveInCell, long nowNanos) {
    boolean isReader = liveInCell.stream().limit(READERS_PER_CELL).anyMatch(self::equals);
    if (nowNanos < dueNanos || (hasRead && !isReader)) {
      return Optional.empty();
    }
    dueNanos = nowNanos + INTERVAL.toNanos();
    lastCall = calls.next();
    return Optional.of(new ControlAction.CallPlatform(lastCall, new PlatformRequest.ReadHosts()));
  }

  boolean isOwnCall(long replyCall) {
    return replyCall == lastCall;
  }

  /** Notes that the list came. Returns true the first time. */
  boolean markRead() {
    boolean isFirst = !hasRead;
    hasRead = true;
    return isFirst;
  }
}
