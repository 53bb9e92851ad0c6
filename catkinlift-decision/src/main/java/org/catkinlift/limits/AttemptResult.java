package org.catkinlift.limits;

import java.time.Duration;
import org.catkinlift.model.RefusalCode;

/** States how an attempt that was sent to an upstream ended. */
public sealed interface AttemptResult {

  /**
   * The upstream executed the request.
   *
   * @param latency the time from sending to the beginning of the answer
   * @param instance the run of the upstream's process that answered; empty if it does not say
   */
  record Answered(Duration latency, String instance) implements AttemptResult {}

  /** The upstream did not run the request because it has too much work. */
  record Shed() implements AttemptResult {}

  /**
   * The request did not run: the upstream said so, or nothing was written to it.
   *
   * @param code the reason
   */
  record Refused(RefusalCode code) implements AttemptResult {}

  /**
   * The request may have run and may still run.
   *
   * @param code the reason
   */
  record Failed(RefusalCode code) implements AttemptResult {}

  /**
   * The upstream no longer executes the request; it may have run in part or completely.
   *
   * <p>This is the reply to a cancellation, which {@link Failed} cannot express: a failed request
   * may still hold an execution slot.
   */
  record Stopped() implements AttemptResult {}
}
