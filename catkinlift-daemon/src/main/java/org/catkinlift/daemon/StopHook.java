package org.catkinlift.daemon;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Stops the daemon when the process is asked to end (SIGTERM, SIGINT) and waits for it. */
final class StopHook {
  /** Time beyond the grace period for handing over duties and closing connections. */
  private static final Duration MARGIN = Duration.ofSeconds(5);

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final RunningDaemon daemon;
  private final Duration limit;

  /**
   * Creates the hook.
   *
   * @param daemon the daemon to stop
   * @param grace how long the daemon itself waits for running requests
   */
  StopHook(RunningDaemon daemon, Duration grace) {
    this.daemon = daemon;
    this.limit = grace.plus(MARGIN);
  }

  /**
   * Registers the hook with the runtime.
   *
   * <p>A process that a signal ends has no exit code of its own, so the hook sets it.
   */
  void install() {
    Thread thread = new Thread(() -> Runtime.getRuntime().halt(stop().number()), "stop-hook");
    Runtime.getRuntime().addShutdownHook(thread);
  }

  /**
   * Stops the daemon and waits until it has ended.
   *
   * @return {@code DONE}, or {@code FAILED} if it did not end within grace period and margin
   */
  ExitCode stop() {
    try {
      daemon
          .stop()
          .toCompletionStage()
          .toCompletableFuture()
          .get(limit.toMillis(), TimeUnit.MILLISECONDS);
      return ExitCode.DONE;
    } catch (ExecutionException | TimeoutException e) {
      LOGGER.atSevere().withCause(e).log("the daemon did not stop within %s", limit);
      return ExitCode.FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }
}
