package org.catkinlift.ranges;

/** The kinds of calls that a coordinator sends to upstreams. */
enum CallKind {
  /** Gives keys to an upstream, or renews its hold. */
  GRANT,
  /** Ends the hold of an upstream. */
  RELEASE
}
