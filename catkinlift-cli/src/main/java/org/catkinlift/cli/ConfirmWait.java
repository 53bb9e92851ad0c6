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

/** Waits until a configuration version is in force at the daemon that was asked. */
final class ConfirmWait {
  /** The time between two questions; a change takes at most 7 s to be in force. */
  static final Duration INTERVAL = Duration.ofMillis(500);

  /** 30 s in all, so that a platform that is slow for some seconds does not fail the command. */
  private static final int MAX_QUESTIONS = 60;

  private static final long UNKNOWN = -1;

  private final Function<OperatorRequest, OperatorReply> daemon;
  private final Executor delay;
  private final PrintStream progress;

  /**
   * Creates a wait.
   *
   * @param daemon asks the daemon
   * @param delay runs a task after {@link #INTERVAL}
   * @param progress gets a line whenever the version changes
   */
  ConfirmWait(
      Function<OperatorRequest, OperatorReply> daemon, Executor delay, PrintStream progress) {
    this.daemon = daemon;
    this.delay = delay;
    this.progress = progress;
  }

  /**
   * Waits for a version or a later one.
   *
   * @param wanted the version
   * @return {@code DONE}, or {@code FAILED} if it is not in force in time
   */
  ExitCode waitFor(long wanted) {
    long last = UNKNOWN;
    for (int i = 0; i < MAX_QUESTIONS; i++) {
      long version = ask();
      if (version != last) {
        progress.println("configuration version in force: " + version + ", wanted: " + wanted);
        last = version;
      }
      if (version >= wanted) {
        return ExitCode.DONE;
      }
      CompletableFuture.runAsync(() -> {}, delay).join();
    }
    progress.println("error: the plan is accepted, but version " + wanted + " is not in force yet");
    return ExitCode.FAILED;
  }

  private long ask() {
    return switch (daemon.apply(new OperatorRequest.ShowStatus())) {
      case OperatorReply.Facts r -> versionOf(r);
      case OperatorReply.Failed r -> UNKNOWN;
      case OperatorReply.PlanShown r -> UNKNOWN;
      case OperatorReply.PlansListed r -> UNKNOWN;
    };
  }

  private static long versionOf(OperatorReply.Facts status) {
    String text = status.facts().get(OperatorReply.Facts.CONFIGURATION_VERSION);
    Long version = text == null ? null : Longs.tryParse(text);
    return version == null ? UNKNOWN : version;
  }
}
