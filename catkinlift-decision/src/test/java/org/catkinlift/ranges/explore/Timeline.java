package org.catkinlift.ranges.explore;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.catkinlift.ranges.Holder;
import org.catkinlift.ranges.RangeAction;

/** Describes the steps of a system and the calls of its coordinator, one a line. */
final class Timeline {
  private final boolean isRecording;
  private final List<String> lines = new ArrayList<>();

  private Timeline(boolean isRecording) {
    this.isRecording = isRecording;
  }

  static Timeline recording() {
    return new Timeline(true);
  }

  /** Returns a timeline that records nothing, for the many replays of a search. */
  static Timeline disabled() {
    return new Timeline(false);
  }

  void add(long nowNanos, Step step) {
    if (isRecording) {
      add(nowNanos, step.toString());
    }
  }

  void add(long nowNanos, int call, Holder to, RangeAction action) {
    if (isRecording) {
      add(nowNanos, "  call %d to %s: %s".formatted(call, to.upstream(), describe(action)));
    }
  }

  void add(long nowNanos, String text) {
    if (isRecording) {
      lines.add("%6d ms  %s".formatted(Duration.ofNanos(nowNanos).toMillis(), text));
    }
  }

  private static String describe(RangeAction action) {
    return switch (action) {
      case RangeAction.Grant g ->
          "grant %s under token %d for %d ms"
              .formatted(g.assignment().range(), g.assignment().fence(), g.duration().toMillis());
      case RangeAction.Release r -> "release %s under token %d".formatted(r.range(), r.fence());
      case RangeAction.ReadMap r -> "read the map";
      case RangeAction.WriteMap w -> "write the map";
    };
  }

  @Override
  public String toString() {
    return String.join("\n", lines);
  }
}
