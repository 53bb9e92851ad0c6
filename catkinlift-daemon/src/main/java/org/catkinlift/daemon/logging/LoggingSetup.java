package org.catkinlift.daemon.logging;

import java.io.OutputStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;
import org.catkinlift.daemon.settings.LoggingSettings;

/**
 * Leads all log records of the process to one stream.
 *
 * <p>Flogger writes to java.util.logging, and so do Vert.x and Netty through SLF4J.
 */
public final class LoggingSetup {
  /** Kept here because java.util.logging forgets the level of a logger that nobody refers to. */
  private static final Logger PROJECT_LOGGER = Logger.getLogger("org.catkinlift");

  private static final Logger ROOT_LOGGER = Logger.getLogger("");

  private LoggingSetup() {}

  /**
   * Replaces all handlers of the process by one that writes lines to a stream.
   *
   * <p>Libraries log warnings and errors only; their other messages name no catkinlift event.
   *
   * @param settings which events are logged
   * @param stream where the lines go; standard error in the daemon
   */
  public static void install(LoggingSettings settings, OutputStream stream) {
    for (Handler handler : ROOT_LOGGER.getHandlers()) {
      ROOT_LOGGER.removeHandler(handler);
    }
    ROOT_LOGGER.setLevel(Level.WARNING);
    PROJECT_LOGGER.setLevel(EventLogger.levelOf(settings.level()));
    ROOT_LOGGER.addHandler(flushingHandler(stream));
  }

  private static Handler flushingHandler(OutputStream stream) {
    var handler =
        new StreamHandler(stream, new LineFormatter()) {
          @Override
          public synchronized void publish(LogRecord record) {
            super.publish(record);
            flush();
          }
        };
    handler.setLevel(Level.ALL);
    return handler;
  }
}
