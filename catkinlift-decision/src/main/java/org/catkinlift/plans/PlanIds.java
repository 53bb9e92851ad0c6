package org.catkinlift.plans;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.PlanId;

/**
 * Derives the id of a plan from its intent and the versions it is made from.
 *
 * <p>The same intent on the same state gives the same plan, so an operator who lost the answer gets
 * it again, and no clock or random number is needed.
 */
final class PlanIds {
  private static final HashFunction HASH = Hashing.sha256();
  private static final int LENGTH = 16;

  private PlanIds() {}

  static PlanId of(Intent intent, long configuration, ImmutableMap<String, Epoch> assignments) {
    String hash =
        HASH.newHasher()
            .putUnencodedChars(intent.toString())
            .putLong(configuration)
            .putString(assignments.toString(), UTF_8)
            .hash()
            .toString();
    return PlanId.of("p-" + hash.substring(0, LENGTH));
  }
}
