package org.catkinlift.bench.traffic;

import org.catkinlift.model.Outcome;

/**
 * What a caller is told.
 *
 * @param outcome how its request ended
 * @param answeredRequestNumber the number of the request that the answer belongs to; -1 without an
 *     answer
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
