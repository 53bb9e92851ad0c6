package org.catkinlift.daemon.logging;

import java.io.OutputStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;
import org.catkinlift.daemon.settings.LoggingSettings;

/**
 * Configures logging so that all log records of the process go to one stream.
 *
 * <p>Flogger logs through java.util.logging; Vert.x and Netty do so through SLF4J.
 */
public final class LoggingSetup {
  /**
   * A strong reference: java.util.logging loses the level of a logger that is garbage-collected.
   */
  private static final Logger PROJECT_LOGGER = Logger.getLogger("org.catkinlift");

  private static final Logger ROOT_LOGGER = Logger.getLogger("");

  private LoggingSetup() {}

  /**
   * Replaces all handlers of the root logger by one that writes lines to a stream.
   *
   * <p>Records of libraries are limited to warnings and errors, because their other messages do not
   * describe catkinlift events.
   *
   * @param settings the logging settings
   * @param stream the output stream; standard error in the daemon
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
