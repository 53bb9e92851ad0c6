package org.catkinlift.gateway.logging;

import com.google.common.collect.ImmutableMap;
import java.util.function.Consumer;
import org.catkinlift.events.EventCode;
import org.catkinlift.timer.GuardedTask;

/** Guards timers and the handlers of call results, and logs their exceptions. */
public final class TaskGuard {
  private final EventLog log;

  /**
   * Creates a guard.
   *
   * @param log the event log that receives the causes
   */
  public TaskGuard(EventLog log) {
    this.log = log;
  }

  /**
   * Returns a task that logs exceptions of another one.
   *
   * @param task the task
   * @return the guarded task
   */
  public Runnable guard(Runnable task) {
    return GuardedTask.of(task, this::failed);
  }

  /**
   * Passes a result to its handler and logs an exception of the handler.
   *
   * @param <T> the type of the result
   * @param handler the handler
   * @param result the result
   */
  public <T> void accept(Consumer<T> handler, T result) {
    guard(() -> handler.accept(result)).run();
  }

  private void failed(Throwable cause) {
    log.log(
        EventCode.TASK_FAILED,
        ImmutableMap.of("cause", cause.toString(), "at", GuardedTask.origin(cause)));
  }
}
