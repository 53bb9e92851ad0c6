package org.catkinlift.ownership;

import org.catkinlift.model.Epoch;

/** Numbers the grants, ownerships, leases and assignments of one coordinator's term. */
final class EpochIssuer {
  private final long term;
  private long counter;

  EpochIssuer(long term) {
    this.term = term;
  }

  /** Returns an epoch later than all earlier ones of this term. */
  Epoch next() {
    return Epoch.of(term, ++counter);
  }

  long term() {
    return term;
  }
}
