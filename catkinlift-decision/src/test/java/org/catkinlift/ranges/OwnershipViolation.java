package org.catkinlift.ranges;

import java.time.Duration;

/**
 * A broken rule on ownership.
 *
 * @param rule the rule
 * @param key the key
 * @param atNanos when it was seen
 * @param details what the upstreams hold
 */
record OwnershipViolation(Rule rule, int key, long atNanos, String details) {
  /** A rule on the ownership of keys. */
  enum Rule {
    ONE_HOLDER("two holders"),
    RISING_FENCES("fencing token not above that of others"),
    NO_WORK_ELSEWHERE("grant during work of another");

    private final String violation;

    Rule(String violation) {
      this.violation = violation;
    }
  }

  @Override
  public String toString() {
    return "%s of key %d at %d ms: %s"
        .formatted(rule.violation, key, Duration.ofNanos(atNanos).toMillis(), details);
  }
}
