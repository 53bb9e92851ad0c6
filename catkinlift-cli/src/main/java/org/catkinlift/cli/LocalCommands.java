package org.catkinlift.cli;

import com.google.common.collect.ImmutableList;
import org.catkinlift.cli.demo.DemoCommand;

/** Lists the commands that ask no daemon. */
final class LocalCommands {
  private LocalCommands() {}

  /**
   * Returns new command objects.
   *
   * @return the commands
   */
  static ImmutableList<LocalCommand> all() {
    var demo = new DemoCommand();
    return ImmutableList.of(new LocalCommand("demo", demo, demo::isHelpRequested, demo::run));
  }
}
