package org.catkinlift.ownership;

import org.catkinlift.model.Epoch;

/** Issues the epochs of all grants, slot owners, dispatch leases and assignments of one term. */
final class EpochIssuer {
  private final long term;
  private long counter;

  EpochIssuer(long term) {
    this.term = term;
  }

  /** Returns an epoch greater than all epochs returned before. */
  Epoch next() {
    return Epoch.of(term, ++counter);
  }

  long term() {
    return term;
  }
}
