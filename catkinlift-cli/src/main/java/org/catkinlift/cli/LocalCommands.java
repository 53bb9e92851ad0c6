package org.catkinlift.cli;

import com.google.common.collect.ImmutableList;
import org.catkinlift.cli.demo.DemoCommand;

/** The commands that run without contacting a daemon. */
final class LocalCommands {
  private LocalCommands() {}

  /**
   * Returns new command objects, which hold the arguments of one run.
   *
   * @return the commands
   */
  static ImmutableList<LocalCommand> all() {
    var demo = new DemoCommand();
    return ImmutableList.of(new LocalCommand("demo", demo, demo::isHelpRequested, demo::run));
  }
}
