package org.catkinlift.plans;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.PlanId;

/**
 * Derives the id of a plan from its intent, the versions that it is made from and its refusals.
 *
 * <p>The same intent on the same state gives the same id, so an operator who repeats a request
 * after a lost reply gets the same plan, and no clock or random number is needed. The refusals are
 * included because they also depend on loads and hosts: without them, a request that is now refused
 * would return an earlier plan that was not.
 */
final class PlanIds {
  private static final HashFunction HASH = Hashing.sha256();
  private static final int LENGTH = 16;

  private PlanIds() {}

  static PlanId of(
      Intent intent,
      long configuration,
      ImmutableMap<String, Epoch> assignments,
      ImmutableList<String> refusals) {
    String hash =
        HASH.newHasher()
            .putUnencodedChars(intent.toString())
            .putLong(configuration)
            .putString(assignments.toString(), UTF_8)
            .putString(refusals.toString(), UTF_8)
            .hash()
            .toString();
    return PlanId.of("p-" + hash.substring(0, LENGTH));
  }
}
