package org.catkinlift.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.catkinlift.cli.DaemonCommands.Command;
import org.catkinlift.cli.DaemonCommands.PlanGroup;
import org.catkinlift.daemon.ProductVersion;

/** Parses the arguments of {@code catkinlift}. */
final class CliParser {
  private static final String PROGRAM = "catkinlift";
  private static final String PLAN = "plan";

  private final CliOptions options = new CliOptions();
  private final ImmutableMap<String, Command> commands = DaemonCommands.commands();
  private final ImmutableMap<String, Command> planCommands = DaemonCommands.planCommands();
  private final ImmutableList<LocalCommand> localCommands;
  private final JCommander parser;
  private final JCommander planParser;

  /**
   * Creates a parser for a single call of {@link #parse}.
   *
   * @param localCommands commands that run without contacting a daemon
   */
  CliParser(ImmutableList<LocalCommand> localCommands) {
    this.localCommands = localCommands;
    this.parser = JCommander.newBuilder().programName(PROGRAM).addObject(options).build();
    commands.forEach(parser::addCommand);
    parser.addCommand(PLAN, new PlanGroup());
    this.planParser = parser.getCommands().get(PLAN);
    PlanGroup.addTo(planParser, planCommands);
    localCommands.forEach(c -> parser.addCommand(c.name(), c.arguments()));
  }

  /**
   * Parses arguments.
   *
   * @param args the command-line arguments
   * @return the task to run
   * @throws ParameterException if an argument is missing or invalid
   * @throws CliException with code {@code BAD_FILE} if a file named by an argument cannot be used
   */
  CliTask parse(ImmutableList<String> args) {
    parser.parse(args.toArray(String[]::new));
    if (options.help()) {
      return new CliTask.Print(help());
    }
    if (options.version()) {
      return new CliTask.Print(PROGRAM + ' ' + ProductVersion.text());
    }
    String name = parser.getParsedCommand();
    if (name == null) {
      throw new ParameterException("a command is required");
    }
    if (name.equals(PLAN)) {
      return planTask();
    }
    Optional<LocalCommand> local =
        localCommands.stream().filter(c -> c.name().equals(name)).findFirst();
    if (local.isPresent()) {
      return localTask(local.get());
    }
    return commands.get(name).task();
  }

  /**
   * Returns the global options, which precede the command.
   *
   * @return the options; valid after {@link #parse}
   */
  CliOptions options() {
    return options;
  }

  private CliTask planTask() {
    String name = planParser.getParsedCommand();
    if (name == null) {
      throw new ParameterException(
          "plan needs an intent: " + String.join(", ", planCommands.keySet()));
    }
    return planCommands.get(name).task();
  }

  private CliTask localTask(LocalCommand command) {
    if (!command.helpRequested().getAsBoolean()) {
      return new CliTask.RunLocal(command);
    }
    var text = new StringBuilder();
    parser.getUsageFormatter().usage(command.name(), text);
    return new CliTask.Print(text.toString());
  }

  private String help() {
    var text = new StringBuilder();
    parser.getUsageFormatter().usage(text);
    return text.toString();
  }
}
