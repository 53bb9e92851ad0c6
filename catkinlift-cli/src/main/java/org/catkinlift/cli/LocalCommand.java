package org.catkinlift.cli;

import java.io.PrintStream;
import java.util.function.BooleanSupplier;

/**
 * A command that runs without contacting a daemon.
 *
 * @param name its name on the command line
 * @param arguments the object with the JCommander annotations that declare its arguments
 * @param helpRequested tells whether the parsed arguments request the help text
 * @param action the implementation
 */
public record LocalCommand(
    String name, Object arguments, BooleanSupplier helpRequested, Action action) {

  /** The implementation of a command. */
  @FunctionalInterface
  public interface Action {

    /**
     * Runs the command.
     *
     * @param out receives the results
     * @param err receives errors and progress messages
     * @return the exit code: 0 for success, 1 for failure, 2 for bad usage
     */
    int run(PrintStream out, PrintStream err);
  }
}
