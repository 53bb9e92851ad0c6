package org.catkinlift.ranges.explore;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;

/**
 * One event that the environment of a coordinator can cause. The coordinator acts after each step.
 *
 * <p>Upstreams are named by index, calls by the number that the system gave them.
 */
sealed interface Step {

  /** Returns whether this step is a failure, of which a search allows a bounded number. */
  default boolean isFault() {
    return switch (this) {
      case BreakConnection s -> true;
      case FailToConnect s -> true;
      case DelayGrant s -> true;
      case Crash s -> true;
      case ReplaceCoordinator s -> true;
      default -> false;
    };
  }

  /** The directory lists these upstreams, each with its last start; keys move accordingly. */
  record ListUpstreams(ImmutableSet<Integer> upstreams) implements Step {}

  /** Two adjacent keys become busy, so that one of them is cut out of its range. */
  record AddBusyKeys() implements Step {}

  /** Time passes, and calls without an answer are given up. */
  record Wait(Duration time) implements Step {}

  /** The coordinator loses its role, and a successor reads the stored map. */
  record ReplaceCoordinator() implements Step {}

  /** The process of an upstream ends. */
  record Crash(int upstream) implements Step {}

  /** A process starts under the same id and address; the directory does not list it yet. */
  record Start(int upstream) implements Step {}

  /** A holder begins to work on a request for a key, perhaps one that was executed before. */
  record BeginWork(int upstream, int key) implements Step {}

  /** The work ends; whether the caller gets the response makes no difference to ownership. */
  record EndWork() implements Step {}

  /** A call arrives and is processed; its answer is on its way or waits for the end of work. */
  record Deliver(int call) implements Step {}

  /** The answer to a delivered call returns. */
  record ReturnAnswer(int call) implements Step {}

  /** A call arrives, and its answer returns at once. */
  record Complete(int call) implements Step {}

  /** The connection is lost with the call before its arrival, or with the answer after it. */
  record BreakConnection(int call) implements Step {}

  /** No connection is established for a call. */
  record FailToConnect(int call) implements Step {}

  /** A grant arrives and its connection is lost; the upstream may apply it seconds later. */
  record DelayGrant(int call) implements Step {}

  /** A grant without an answer is applied, with its time counted from its arrival. */
  record ApplyDelayedGrant(int call) implements Step {}
}
