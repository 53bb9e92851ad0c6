package org.catkinlift.plans;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.PlanId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;

/**
 * States what an intent would change.
 *
 * @param id the plan
 * @param intent the intent that it was made from
 * @param configurationVersion the configuration version that it was made from
 * @param assignmentVersions the assignment versions that it was made from, by {@code
 *     <service>/<cell>}
 * @param result the configuration that a confirmation puts into force
 * @param moves the slots that would move
 * @param loads what each upstream and availability zone would then bear
 * @param expectedDuration how long the moves take
 * @param refusals why it cannot be confirmed; empty if it can
 */
public record Plan(
    PlanId id,
    Intent intent,
    long configurationVersion,
    ImmutableMap<String, Epoch> assignmentVersions,
    Configuration result,
    ImmutableList<Move> moves,
    ImmutableList<Load> loads,
    Duration expectedDuration,
    ImmutableList<String> refusals) {

  /**
   * The slots that would move from one upstream to another.
   *
   * @param service the service
   * @param from the present owner; empty if the slots have none
   * @param to the later owner; empty if none is left
   * @param slots the number of slots
   */
  public record Move(
      ServiceName service, Optional<UpstreamId> from, Optional<UpstreamId> to, int slots) {}

  /**
   * What an upstream or availability zone would bear after the change.
   *
   * @param subject {@code upstream/<id>} or {@code zone/<name>}
   * @param expected the expected requests in flight
   * @param limit the requests in flight that it bears
   */
  public record Load(String subject, double expected, int limit) {}
}
