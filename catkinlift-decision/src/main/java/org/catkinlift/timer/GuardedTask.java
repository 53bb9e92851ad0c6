package org.catkinlift.timer;

import java.util.function.Consumer;

/**
 * Runs a task so that an exception ends that run only. Executors and event loops cancel a periodic
 * task at its first exception, without a log line.
 */
public final class GuardedTask {
  private static final int MAX_STACK_FRAMES = 6;

  private GuardedTask() {}

  /**
   * Returns a task that passes exceptions of another one to a listener.
   *
   * @param task the task
   * @param failureListener receives the exceptions
   * @return the guarded task
   */
  public static Runnable of(Runnable task, Consumer<Throwable> failureListener) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException | StackOverflowError e) {
        failureListener.accept(e);
      }
    };
  }

  /**
   * Returns where an exception was thrown, for a log line.
   *
   * @param failure the exception
   * @return the innermost stack frames
   */
  public static String origin(Throwable failure) {
    var frames = new StringBuilder();
    StackTraceElement[] trace = failure.getStackTrace();
    for (int i = 0; i < Math.min(MAX_STACK_FRAMES, trace.length); i++) {
      frames.append(i == 0 ? "" : " < ");
      frames.append(trace[i].getClassName()).append('.').append(trace[i].getMethodName());
      frames.append(':').append(trace[i].getLineNumber());
    }
    return frames.toString();
  }
}
