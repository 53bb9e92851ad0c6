package org.catkinlift.daemon;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.catkinlift.daemon.settings.DaemonSettings;

/** A handle on a started daemon. */
@FunctionalInterface
public interface RunningDaemon {

  /**
   * Stops the daemon gracefully, without interrupting running requests.
   *
   * @return completes when the daemon has stopped
   */
  Future<Void> stop();

  /** Starts daemons. */
  @FunctionalInterface
  interface Starter {

    /**
     * Starts a daemon.
     *
     * @param vertx runs the daemon's servers and clients
     * @param settings the daemon's settings
     * @return completes when the daemon serves callers
     */
    Future<RunningDaemon> start(Vertx vertx, DaemonSettings settings);
  }
}
