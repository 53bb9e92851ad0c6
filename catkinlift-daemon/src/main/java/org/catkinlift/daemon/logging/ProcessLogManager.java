package org.catkinlift.daemon.logging;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers open until the process exits.
 *
 * <p>The standard log manager closes all handlers in a shutdown hook, so the log lines of a
 * graceful shutdown would be lost.
 */
public final class ProcessLogManager extends LogManager {
  /**
   * The system property that selects the log manager of java.util.logging. It must be set without
   * initializing this class, because initialization creates the standard log manager.
   */
  public static final String PROPERTY = "java.util.logging.manager";

  /** Creates the manager; called by java.util.logging. */
  public ProcessLogManager() {}

  /** Does nothing; {@link LoggingSetup} replaces the handlers. */
  @Override
  public void reset() {}
}
