package org.catkinlift.ranges;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The events of a simulation in order of time, to explain a violation. */
final class SimulationTrace {
  private final List<Entry> entries = new ArrayList<>();

  /**
   * An event and its time.
   *
   * @param atNanos the time
   * @param event the event
   */
  record Entry(long atNanos, SimulationEvent event) {
    private String describe(int key) {
      String details =
          event instanceof SimulationEvent.MapWritten written
              ? ": " + written.assignmentOf(key)
              : "";
      return Duration.ofNanos(atNanos).toMillis() + " ms " + event + details;
    }
  }

  void add(long atNanos, SimulationEvent event) {
    entries.add(new Entry(atNanos, event));
  }

  /** Returns the events that bear on the holder of a key. */
  ImmutableList<Entry> entriesOf(int key) {
    return entries.stream()
        .filter(e -> e.event().concerns(key))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the events that bear on the holder of a key, one a line. */
  String describe(int key) {
    var text = new StringBuilder();
    String previous = "";
    for (Entry entry : entriesOf(key)) {
      String line = entry.describe(key);
      String withoutTime = line.substring(line.indexOf(" ms ") + 1);
      if (!withoutTime.equals(previous)) {
        text.append(line).append('\n');
      }
      previous = withoutTime;
    }
    return text.toString();
  }
}
