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
 * The predicted effect of an intent.
 *
 * @param id the id of the plan
 * @param intent the intent that the plan was made from
 * @param configurationVersion the configuration version that the plan was made from
 * @param assignmentVersions the assignment versions that the plan was made from, by {@code
 *     <service>/<cell>}
 * @param result the configuration that takes effect when the plan is confirmed
 * @param moves the slots that would move
 * @param loads the expected load of each upstream and availability zone after the change
 * @param expectedDuration the expected time from the confirmation until all slots have moved
 * @param refusals why the plan cannot be confirmed; empty if it can
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
   * @param from the current owner; empty if the slots have none
   * @param to the new owner; empty if no upstream remains
   * @param slots the number of slots
   */
  public record Move(
      ServiceName service, Optional<UpstreamId> from, Optional<UpstreamId> to, int slots) {}

  /**
   * The expected load of an upstream or availability zone after the change.
   *
   * @param subject {@code upstream/<id>} or {@code zone/<name>}
   * @param expected the expected number of requests in flight
   * @param limit the maximum number of requests in flight
   */
  public record Load(String subject, double expected, int limit) {}
}
