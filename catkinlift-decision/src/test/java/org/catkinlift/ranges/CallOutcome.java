package org.catkinlift.ranges;

import java.time.Duration;

/** What the transport does with a call to an upstream. */
sealed interface CallOutcome {
  /** The longest time to establish a connection. */
  Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  /** The time from the connection until a call without an answer is reset. */
  Duration CALL_TIMEOUT = Duration.ofMillis(800);

  /** The latest arrival that the transport allows. */
  Duration LATEST_ARRIVAL = CONNECT_TIMEOUT.plus(CALL_TIMEOUT);

  /**
   * The call arrives, and the answer returns.
   *
   * @param arrival the delay until the call arrives
   * @param answer the delay from the arrival until the answer is back
   */
  record Answered(Duration arrival, Duration answer) implements CallOutcome {}

  /**
   * The connection is not established.
   *
   * @param reported the delay until the caller learns it
   */
  record NotSent(Duration reported) implements CallOutcome {}

  /**
   * The call arrives, and its answer is lost.
   *
   * @param arrival the delay until the call arrives
   */
  record AnswerLost(Duration arrival) implements CallOutcome {}

  /**
   * The call arrives and waits at the upstream, which applies it after the caller has given it up.
   *
   * @param arrival the delay until the call arrives
   * @param waitTime the time from the arrival until the upstream applies the call
   */
  record AppliedLate(Duration arrival, Duration waitTime) implements CallOutcome {}

  /**
   * A late copy of the answer to an earlier grant is taken for the answer, and the connection is
   * reset before the call arrives.
   *
   * @param answer the delay until the copy arrives
   */
  record AnsweredByCopy(Duration answer) implements CallOutcome {}
}
