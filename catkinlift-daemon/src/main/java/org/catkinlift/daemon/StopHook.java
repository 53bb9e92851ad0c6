package org.catkinlift.daemon;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Stops the daemon when the process is asked to end (SIGTERM, SIGINT) and waits for it. */
final class StopHook {
  /** Handing over duties, ending the callers' requests and ending the dispatched ones. */
  private static final int BOUNDED_STEPS = 3;

  /** Time for the health check to be noticed and for connections to be closed. */
  private static final Duration MARGIN = Duration.ofSeconds(5);

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final RunningDaemon daemon;
  private final Duration timeout;

  /**
   * Creates the hook.
   *
   * @param daemon the daemon to stop
   * @param grace the bound that the daemon sets for each of its steps
   */
  StopHook(RunningDaemon daemon, Duration grace) {
    this.daemon = daemon;
    this.timeout = grace.multipliedBy(BOUNDED_STEPS).plus(MARGIN);
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
   * @return {@code DONE}, or {@code FAILED} if it did not end in time
   */
  ExitCode stop() {
    try {
      daemon
          .stop()
          .toCompletionStage()
          .toCompletableFuture()
          .get(timeout.toMillis(), TimeUnit.MILLISECONDS);
      return ExitCode.DONE;
    } catch (ExecutionException | TimeoutException e) {
      LOGGER.atSevere().withCause(e).log("the daemon did not stop gracefully within %s", timeout);
      return ExitCode.FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }
}
