package org.catkinlift.model;

/** How the work of a service is distributed over its upstreams. */
public sealed interface ServiceKind {
  /** The number of slots of a keyed service that does not specify one. */
  int DEFAULT_SLOT_COUNT = 1_024;

  /**
   * Work is partitioned by key; each key has one owner.
   *
   * @param slotCount the number of hash slots, a power of two from 1 to 1,048,576
   * @param cutOffRule what happens when an availability zone is isolated
   * @param grantChecking whether upstreams check grants
   */
  record Keyed(int slotCount, CutOffRule cutOffRule, GrantChecking grantChecking)
      implements ServiceKind {
    private static final int MAX_SLOT_COUNT = 1 << 20;

    /**
     * Checks the slot count.
     *
     * @throws ModelException with code {@code OUT_OF_RANGE} if it is not a power of two in range
     */
    public Keyed {
      if (slotCount < 1 || slotCount > MAX_SLOT_COUNT || Integer.bitCount(slotCount) != 1) {
        throw new ModelException(
            ModelException.Code.OUT_OF_RANGE,
            "slot count must be a power of two from 1 to 1048576, was " + slotCount);
      }
    }
  }

  /** Any upstream may execute any request. */
  record Shared() implements ServiceKind {}

  /**
   * Returns a keyed kind with default values.
   *
   * @return the kind
   */
  static ServiceKind keyed() {
    return new Keyed(DEFAULT_SLOT_COUNT, CutOffRule.hold(), GrantChecking.checked());
  }

  /**
   * Returns the kind of services whose work is not partitioned by key.
   *
   * @return the kind
   */
  static ServiceKind shared() {
    return new Shared();
  }
}
