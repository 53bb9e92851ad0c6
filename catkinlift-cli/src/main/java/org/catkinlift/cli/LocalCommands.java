package org.catkinlift.cli;

import com.google.common.collect.ImmutableList;

/** Lists the commands that ask no daemon. */
final class LocalCommands {
  private LocalCommands() {}

  /**
   * Returns new command objects; the place to register {@code demo}: {@code var demo = new
   * DemoCommand(); return ImmutableList.of(new LocalCommand("demo", demo, demo::run));}.
   *
   * @return the commands
   */
  static ImmutableList<LocalCommand> all() {
    return ImmutableList.of();
  }
}
