package org.catkinlift.daemon;

import com.beust.jcommander.ParameterException;
import com.google.common.collect.ImmutableList;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.catkinlift.daemon.logging.LoggingSetup;
import org.catkinlift.daemon.settings.DaemonSettings;

/** The command {@code catkinliftd}. */
final class DaemonCommand {
  private final RunningDaemon.Starter starter;
  private final Consumer<StopHook> onRunning;
  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates the command.
   *
   * @param starter starts the daemon
   * @param onRunning receives the hook that stops the running daemon
   * @param out receives the requested output
   * @param err receives errors and log lines
   */
  DaemonCommand(
      RunningDaemon.Starter starter,
      Consumer<StopHook> onRunning,
      PrintStream out,
      PrintStream err) {
    this.starter = starter;
    this.onRunning = onRunning;
    this.out = out;
    this.err = err;
  }

  /**
   * Executes the task that the arguments request.
   *
   * @param args the arguments
   * @return the exit code; empty if a daemon is running, which ends the process when it is stopped
   */
  Optional<ExitCode> run(ImmutableList<String> args) {
    DaemonTask task;
    try {
      task = DaemonArguments.parse(args);
    } catch (ParameterException e) {
      err.println("error: " + e.getMessage() + "; see --help");
      return Optional.of(ExitCode.BAD_USAGE);
    }
    return switch (task) {
      case DaemonTask.PrintHelp t -> print(DaemonArguments.help());
      case DaemonTask.PrintVersion t -> print("catkinliftd " + ProductVersion.text());
      case DaemonTask.CheckSettings t -> Optional.of(check(t.settings()));
      case DaemonTask.RunDaemon t -> runDaemon(t.settings());
    };
  }

  private Optional<ExitCode> print(String text) {
    out.println(text);
    return Optional.of(ExitCode.DONE);
  }

  private ExitCode check(Path file) {
    Optional<DaemonSettings> settings = SettingsCheck.read(file, err);
    if (settings.isEmpty()) {
      return ExitCode.BAD_USAGE;
    }
    DaemonSettings s = settings.get();
    out.println("settings of host " + s.host() + " in zone " + s.zone() + " are complete");
    return ExitCode.DONE;
  }

  private Optional<ExitCode> runDaemon(Path file) {
    Optional<DaemonSettings> settings = SettingsCheck.read(file, err);
    if (settings.isEmpty()) {
      return Optional.of(ExitCode.BAD_USAGE);
    }
    LoggingSetup.install(settings.get().logging(), err);
    return start(settings.get());
  }

  private Optional<ExitCode> start(DaemonSettings settings) {
    Vertx vertx = Vertx.vertx();
    try {
      RunningDaemon daemon =
          starter.start(vertx, settings).toCompletionStage().toCompletableFuture().join();
      onRunning.accept(new StopHook(daemon, settings.shutdownGrace()));
      return Optional.empty();
    } catch (CompletionException e) {
      err.println("error: daemon failed to start: " + e.getCause().getMessage());
      vertx.close().toCompletionStage().toCompletableFuture().join();
      return Optional.of(ExitCode.FAILED);
    }
  }
}
