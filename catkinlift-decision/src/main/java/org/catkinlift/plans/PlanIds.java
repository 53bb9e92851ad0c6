package org.catkinlift.plans;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.PlanId;

/**
 * Derives the id of a plan from its intent, the versions it is made from and its refusals.
 *
 * <p>The same intent on the same state gives the same plan, so an operator who lost the answer gets
 * it again, and no clock or random number is needed. Refusals depend on loads and hosts too;
 * without them an operator would get an earlier plan back that was not refused.
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
