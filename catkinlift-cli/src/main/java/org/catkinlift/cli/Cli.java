package org.catkinlift.cli;

import com.beust.jcommander.ParameterException;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.catkinlift.daemon.ExitCode;
import org.catkinlift.plans.OperatorReply;
import org.catkinlift.plans.OperatorRequest;

/** Implements the {@code catkinlift} command line. */
final class Cli {
  private final ImmutableList<LocalCommand> localCommands;
  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates the command line.
   *
   * @param localCommands commands that run without contacting a daemon
   * @param out receives the results
   * @param err receives errors and progress messages
   */
  Cli(ImmutableList<LocalCommand> localCommands, PrintStream out, PrintStream err) {
    this.localCommands = localCommands;
    this.out = out;
    this.err = err;
  }

  /**
   * Runs the command given by the arguments.
   *
   * @param args the command-line arguments
   * @return the exit code
   */
  ExitCode run(ImmutableList<String> args) {
    var parser = new CliParser(localCommands);
    try {
      return run(parser.parse(args), parser.options());
    } catch (ParameterException e) {
      err.println("error: " + e.getMessage() + "; see --help");
      return ExitCode.BAD_USAGE;
    } catch (CliException e) {
      e.lines().forEach(line -> err.println("error: " + line));
      return exitCodeOf(e.code());
    }
  }

  private ExitCode run(CliTask task, CliOptions options) {
    return switch (task) {
      case CliTask.Print t -> {
        out.println(t.text());
        yield ExitCode.DONE;
      }
      case CliTask.RunLocal t -> ExitCode.of(t.command().action().run(out, err));
      case CliTask.Send t -> printer(options).print(client(options).send(t.request()));
      case CliTask.ConfirmAndWait t -> confirmAndWait(t.request(), options);
    };
  }

  private ExitCode confirmAndWait(OperatorRequest.ConfirmPlan request, CliOptions options) {
    OperatorClient client = client(options);
    OperatorReply reply = client.send(request);
    ExitCode exitCode = printer(options).print(reply);
    return switch (reply) {
      case OperatorReply.PlanShown shown ->
          awaitInForce(client, shown.plan().plan().result().version());
      case OperatorReply.PlansListed r -> exitCode;
      case OperatorReply.Facts r -> exitCode;
      case OperatorReply.Failed r -> exitCode;
    };
  }

  private ExitCode awaitInForce(OperatorClient client, long version) {
    var delay =
        CompletableFuture.delayedExecutor(
            ConfigurationPoller.POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    return new ConfigurationPoller(client::send, delay, err).awaitVersion(version);
  }

  private ReplyPrinter printer(CliOptions options) {
    return new ReplyPrinter(options.format(), out, err);
  }

  private static OperatorClient client(CliOptions options) {
    return new OperatorClient(options.operator(), token(options.tokenFile()));
  }

  private static String token(Path file) {
    try {
      List<String> lines = Files.readAllLines(file);
      if (!lines.isEmpty()) {
        return lines.get(0).trim();
      }
      throw new CliException(CliException.Code.BAD_FILE, "token file " + file + " is empty");
    } catch (IOException e) {
      throw new CliException(CliException.Code.BAD_FILE, "cannot read token file " + file, e);
    }
  }

  private static ExitCode exitCodeOf(CliException.Code code) {
    return switch (code) {
      case BAD_FILE -> ExitCode.BAD_USAGE;
      case UNREACHABLE, UNAUTHORIZED, REFUSED, INVALID_RESPONSE -> ExitCode.FAILED;
    };
  }
}
