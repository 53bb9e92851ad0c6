package org.catkinlift.ranges.explore;

import org.catkinlift.ranges.GrantResult;
import org.catkinlift.ranges.KeyRange;
import org.catkinlift.ranges.RangeAction;

/**
 * A grant or release that has not ended. Each call has a connection of its own, so that no answer
 * reaches another call.
 *
 * @param term the number of the coordinator that sent it
 * @param upstream the index of the upstream
 * @param action the call
 * @param deadlineNanos when the caller gives it up
 * @param phase how far it has come
 */
record UpstreamCall(int term, int upstream, RangeAction action, long deadlineNanos, Phase phase) {

  /** How far a call has come. */
  sealed interface Phase {
    /** On its way to the upstream. */
    record Sent() implements Phase {}

    /** A release has arrived, and work on its keys has not ended. */
    record AwaitingWork() implements Phase {}

    /**
     * The answer is on its way back.
     *
     * @param result the answer
     */
    record Answered(GrantResult result) implements Phase {}
  }

  UpstreamCall withPhase(Phase next) {
    return new UpstreamCall(term, upstream, action, deadlineNanos, next);
  }

  boolean isGrant() {
    return action instanceof RangeAction.Grant;
  }

  /** Returns the identifier by which the caller knows the call. */
  long callId() {
    return switch (action) {
      case RangeAction.Grant grant -> grant.callId();
      case RangeAction.Release release -> release.callId();
      case RangeAction.ReadMap read -> throw new IllegalStateException("not a call");
      case RangeAction.WriteMap write -> throw new IllegalStateException("not a call");
    };
  }

  KeyRange range() {
    return switch (action) {
      case RangeAction.Grant grant -> grant.assignment().range();
      case RangeAction.Release release -> release.range();
      case RangeAction.ReadMap read -> throw new IllegalStateException("not a call");
      case RangeAction.WriteMap write -> throw new IllegalStateException("not a call");
    };
  }
}
