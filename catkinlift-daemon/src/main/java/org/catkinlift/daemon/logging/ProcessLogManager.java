package org.catkinlift.daemon.logging;

import java.util.logging.LogManager;

/**
 * Keeps the log open until the process has ended.
 *
 * <p>The standard log manager closes all handlers at the beginning of a shutdown, so the lines of a
 * graceful stop would be lost.
 */
public final class ProcessLogManager extends LogManager {
  /**
   * The system property that selects the manager of java.util.logging. It must be set without
   * initializing this class, because that creates the standard manager.
   */
  public static final String PROPERTY = "java.util.logging.manager";

  /** Creates the manager; called by java.util.logging. */
  public ProcessLogManager() {}

  /** Does nothing; {@link LoggingSetup} replaces the handlers itself. */
  @Override
  public void reset() {}
}
