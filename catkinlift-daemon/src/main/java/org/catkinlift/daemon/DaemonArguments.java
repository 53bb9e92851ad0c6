package org.catkinlift.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.google.common.collect.ImmutableList;
import java.nio.file.Path;

/** The command-line arguments of {@code catkinliftd}. JCommander sets the fields. */
final class DaemonArguments {
  private static final String PROGRAM = "catkinliftd";

  @Parameter(names = "--settings", description = "the settings file (JSON); see docs/settings.md")
  private String settings = "";

  @Parameter(names = "--check", description = "check the settings file and end")
  private boolean check;

  @Parameter(names = "--help", help = true, description = "print this text and end")
  private boolean help;

  @Parameter(names = "--version", help = true, description = "print the version and end")
  private boolean version;

  private DaemonArguments() {}

  /**
   * Parses command-line arguments.
   *
   * @param args the arguments
   * @return the requested task
   * @throws ParameterException if an argument is invalid or missing; the message names it
   */
  static DaemonTask parse(ImmutableList<String> args) {
    var arguments = new DaemonArguments();
    parserOf(arguments).parse(args.toArray(String[]::new));
    if (arguments.help) {
      return new DaemonTask.PrintHelp();
    }
    if (arguments.version) {
      return new DaemonTask.PrintVersion();
    }
    if (arguments.settings.isEmpty()) {
      throw new ParameterException("--settings FILE is required");
    }
    Path file = Path.of(arguments.settings);
    return arguments.check ? new DaemonTask.CheckSettings(file) : new DaemonTask.RunDaemon(file);
  }

  /**
   * Returns the help text.
   *
   * @return the text
   */
  static String help() {
    var text = new StringBuilder();
    parserOf(new DaemonArguments()).getUsageFormatter().usage(text);
    return text.toString();
  }

  private static JCommander parserOf(DaemonArguments arguments) {
    return JCommander.newBuilder().programName(PROGRAM).addObject(arguments).build();
  }
}
