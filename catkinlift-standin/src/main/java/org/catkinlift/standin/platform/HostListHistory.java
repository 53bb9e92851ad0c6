package org.catkinlift.standin.platform;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * Keeps past host lists, because the platform shows the list as it was some time ago.
 *
 * @param entries the lists, oldest first
 */
public record HostListHistory(ImmutableList<Entry> entries) {

  /** The history before any host was listed. */
  public static final HostListHistory EMPTY = new HostListHistory(ImmutableList.of());

  /**
   * A host list and the time from which it is true.
   *
   * @param sinceNanos the time
   * @param list the list
   */
  public record Entry(long sinceNanos, HostList list) {}

  /**
   * Adds the list that is true from now on.
   *
   * @param nowNanos the time
   * @param list the list
   * @return the longer history
   */
  public HostListHistory with(long nowNanos, HostList list) {
    return new HostListHistory(
        ImmutableList.<Entry>builder().addAll(entries).add(new Entry(nowNanos, list)).build());
  }

  /**
   * Returns the list that the platform shows.
   *
   * @param nowNanos the time
   * @param lag how far the shown list is behind
   * @return the list that was true at that time; empty before the first one
   */
  public HostList visibleAt(long nowNanos, Duration lag) {
    long shownNanos = nowNanos - lag.toNanos();
    return entries.reverse().stream()
        .filter(e -> e.sinceNanos() - shownNanos <= 0)
        .findFirst()
        .map(Entry::list)
        .orElse(HostList.EMPTY);
  }
}
