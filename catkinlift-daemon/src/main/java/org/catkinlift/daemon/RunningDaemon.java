package org.catkinlift.daemon;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.catkinlift.daemon.settings.DaemonSettings;

/** A daemon that was started and can be stopped. */
@FunctionalInterface
public interface RunningDaemon {

  /**
   * Stops without interrupting running requests.
   *
   * @return completes when the daemon has ended
   */
  Future<Void> stop();

  /** Starts daemons. */
  @FunctionalInterface
  interface Starter {

    /**
     * Starts a daemon.
     *
     * @param vertx runs its servers and clients
     * @param settings its settings
     * @return completes when it serves callers
     */
    Future<RunningDaemon> start(Vertx vertx, DaemonSettings settings);
  }
}
