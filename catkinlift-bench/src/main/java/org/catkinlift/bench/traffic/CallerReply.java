package org.catkinlift.bench.traffic;

import org.catkinlift.model.Outcome;

/**
 * The reply that a caller receives.
 *
 * @param outcome the outcome of the request
 * @param answeredRequestNumber the number of the request that the upstream answered, or -1 if there
 *     is no answer
 */
record CallerReply(Outcome outcome, long answeredRequestNumber) {
  private static final long NO_ANSWER = -1;

  static CallerReply of(Outcome outcome) {
    return new CallerReply(outcome, NO_ANSWER);
  }

  static CallerReply answer(long requestNumber) {
    return new CallerReply(new Outcome.Answered(), requestNumber);
  }
}
