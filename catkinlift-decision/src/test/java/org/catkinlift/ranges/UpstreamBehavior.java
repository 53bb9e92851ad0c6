package org.catkinlift.ranges;

/**
 * How upstreams behave where the platform's pages leave a choice, or allow a fault.
 *
 * @param checksAtArrival whether the fencing token of a grant that waits is checked when the grant
 *     arrives, and not again when it is applied
 * @param seesTokensOfUnheldKeys whether the token of a release counts as seen for keys of which the
 *     upstream never applied a grant
 * @param answersTwice whether a second copy of an answer may arrive late on a kept connection
 * @param confirmsReleasesDuringWork whether a release is answered before the work on its keys has
 *     ended, which the platform's pages rule out
 */
record UpstreamBehavior(
    boolean checksAtArrival,
    boolean seesTokensOfUnheldKeys,
    boolean answersTwice,
    boolean confirmsReleasesDuringWork) {
  /** Checks each grant when it is applied, counts each release, and answers once. */
  static final UpstreamBehavior STRICT = new UpstreamBehavior(false, true, false, false);

  static final UpstreamBehavior CHECKS_AT_ARRIVAL = new UpstreamBehavior(true, true, false, false);

  static final UpstreamBehavior IGNORES_TOKENS_OF_UNHELD_KEYS =
      new UpstreamBehavior(false, false, false, false);

  static final UpstreamBehavior ANSWERS_TWICE = new UpstreamBehavior(false, true, true, false);

  static final UpstreamBehavior CONFIRMS_RELEASES_DURING_WORK =
      new UpstreamBehavior(false, true, false, true);
}
