package org.catkinlift.daemon;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.catkinlift.daemon.logging.ProcessLogManager;
import org.catkinlift.daemon.settings.DaemonSettings;

/** The entry point of {@code catkinliftd}. */
public final class DaemonMain {
  private DaemonMain() {}

  /**
   * Runs the command and exits, unless a daemon is running.
   *
   * @param args see {@code --help}
   */
  public static void main(String[] args) {
    System.setProperty(ProcessLogManager.PROPERTY, ProcessLogManager.class.getName());
    var command = new DaemonCommand(DaemonMain::start, StopHook::install, System.out, System.err);
    command.run(ImmutableList.copyOf(args)).ifPresent(code -> System.exit(code.number()));
  }

  private static Future<RunningDaemon> start(Vertx vertx, DaemonSettings settings) {
    return Daemon.start(vertx, settings).map(daemon -> daemon::stop);
  }
}
