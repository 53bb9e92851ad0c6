package org.catkinlift.cli;

import com.google.common.collect.ImmutableList;
import org.catkinlift.daemon.ExitCode;

/** The entry point of {@code catkinlift}. */
public final class CliMain {
  private CliMain() {}

  /**
   * Runs the command line and exits with its exit code.
   *
   * @param args see {@code --help}
   */
  public static void main(String[] args) {
    var cli = new Cli(LocalCommands.all(), System.out, System.err);
    ExitCode code = cli.run(ImmutableList.copyOf(args));
    System.exit(code.number());
  }
}
