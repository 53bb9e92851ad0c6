package org.catkinlift.cli;

import java.io.PrintStream;
import java.util.function.BooleanSupplier;

/**
 * A command that asks no daemon.
 *
 * @param name its name on the command line
 * @param arguments the object whose JCommander annotations declare its arguments
 * @param helpRequested whether the parsed arguments ask for the help text only
 * @param action does the work
 */
public record LocalCommand(
    String name, Object arguments, BooleanSupplier helpRequested, Action action) {

  /** The work of a command. */
  @FunctionalInterface
  public interface Action {

    /**
     * Does the work.
     *
     * @param out gets what was asked for
     * @param err gets errors and progress
     * @return 0 done, 1 failed, 2 bad usage
     */
    int run(PrintStream out, PrintStream err);
  }
}
