package org.catkinlift.cli;

import com.google.common.primitives.Longs;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.catkinlift.daemon.ExitCode;
import org.catkinlift.plans.OperatorReply;
import org.catkinlift.plans.OperatorRequest;

/** Polls a daemon until a configuration version is in force there. */
final class ConfigurationPoller {
  /** Interval between two polls. A confirmed change is in force within 7 s. */
  static final Duration POLL_INTERVAL = Duration.ofMillis(500);

  /**
   * Allows 30 s of polling in total, so that the command does not fail when the platform is slow
   * for a few seconds.
   */
  private static final int MAX_POLLS = 60;

  private static final long UNKNOWN_VERSION = -1;

  private final Function<OperatorRequest, OperatorReply> client;
  private final Executor delay;
  private final PrintStream progress;

  /**
   * Creates a poller.
   *
   * @param client sends a request to the daemon and returns its reply
   * @param delay runs a task after {@link #POLL_INTERVAL}
   * @param progress receives a line whenever the version in force changes
   */
  ConfigurationPoller(
      Function<OperatorRequest, OperatorReply> client, Executor delay, PrintStream progress) {
    this.client = client;
    this.delay = delay;
    this.progress = progress;
  }

  /**
   * Waits until the given or a later version is in force.
   *
   * @param requiredVersion the version to wait for
   * @return {@code DONE}, or {@code FAILED} if the version is not in force after the last poll
   */
  ExitCode awaitVersion(long requiredVersion) {
    long lastVersion = UNKNOWN_VERSION;
    for (int i = 0; i < MAX_POLLS; i++) {
      long version = fetchVersion();
      if (version != lastVersion) {
        progress.println(
            "configuration version in force: " + version + ", wanted: " + requiredVersion);
        lastVersion = version;
      }
      if (version >= requiredVersion) {
        return ExitCode.DONE;
      }
      CompletableFuture.runAsync(() -> {}, delay).join();
    }
    progress.println(
        "error: the plan is accepted, but version " + requiredVersion + " is not in force yet");
    return ExitCode.FAILED;
  }

  private long fetchVersion() {
    return switch (client.apply(new OperatorRequest.ShowStatus())) {
      case OperatorReply.Facts r -> versionOf(r);
      case OperatorReply.Failed r -> UNKNOWN_VERSION;
      case OperatorReply.PlanShown r -> UNKNOWN_VERSION;
      case OperatorReply.PlansListed r -> UNKNOWN_VERSION;
    };
  }

  private static long versionOf(OperatorReply.Facts status) {
    String text = status.facts().get(OperatorReply.Facts.CONFIGURATION_VERSION);
    Long version = text == null ? null : Longs.tryParse(text);
    return version == null ? UNKNOWN_VERSION : version;
  }
}
