package org.catkinlift.daemon;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Shutdown hook that stops the daemon gracefully on SIGTERM or SIGINT and waits for the stop to
 * complete.
 */
final class StopHook {
  /**
   * The steps with a time limit: the handover of leases, callers' requests and dispatched attempts.
   */
  private static final int BOUNDED_STEPS = 3;

  /** Covers the delay for the failed health check and the time to close connections. */
  private static final Duration MARGIN = Duration.ofSeconds(5);

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final RunningDaemon daemon;
  private final Duration timeout;

  /**
   * Creates the hook.
   *
   * @param daemon the daemon to stop
   * @param gracePeriod the longest time that the daemon waits in each step of the stop
   */
  StopHook(RunningDaemon daemon, Duration gracePeriod) {
    this.daemon = daemon;
    this.timeout = gracePeriod.multipliedBy(BOUNDED_STEPS).plus(MARGIN);
  }

  /**
   * Registers this hook with the JVM.
   *
   * <p>The JVM exits with a status derived from the signal, so the hook halts it with its own exit
   * code.
   */
  void install() {
    Thread thread = new Thread(() -> Runtime.getRuntime().halt(stop().number()), "stop-hook");
    Runtime.getRuntime().addShutdownHook(thread);
  }

  /**
   * Stops the daemon and waits until it has stopped.
   *
   * @return {@code DONE}, or {@code FAILED} if the stop failed or timed out
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
      LOGGER.atSevere().withCause(e).log("daemon did not stop gracefully within %s", timeout);
      return ExitCode.FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }
}
