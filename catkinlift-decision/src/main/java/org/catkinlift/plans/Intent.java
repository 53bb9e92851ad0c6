package org.catkinlift.plans;

import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/**
 * A configuration change requested by an operator. It takes effect only when the plan made from it
 * is confirmed.
 *
 * <p>The string form of an intent, including the names of the records and their components, is part
 * of the hash from which {@link PlanIds} derives the id of the plan.
 */
public sealed interface Intent {

  /**
   * Creates a service or replaces its definition.
   *
   * @param definition the new definition
   */
  record PutService(ServiceDefinition definition) implements Intent {}

  /**
   * Removes a service.
   *
   * @param service the service
   */
  record RemoveService(ServiceName service) implements Intent {}

  /**
   * Takes an availability zone out of service.
   *
   * @param zone the availability zone
   */
  record DrainZone(ZoneName zone) implements Intent {}

  /**
   * Returns to service an availability zone that was drained or declared lost.
   *
   * @param zone the availability zone
   */
  record ReturnZone(ZoneName zone) implements Intent {}

  /**
   * Declares that an availability zone has failed and that others may take over its slots.
   *
   * @param zone the availability zone
   * @param hostsAreOff whether the operator states that the hosts are switched off
   */
  record DeclareZoneLost(ZoneName zone, boolean hostsAreOff) implements Intent {}

  /**
   * Permanently takes an upstream out of service.
   *
   * @param upstream the upstream
   */
  record RetireUpstream(UpstreamId upstream) implements Intent {}

  /**
   * Permanently takes a host out of service.
   *
   * @param host the host
   */
  record RetireHost(HostId host) implements Intent {}
}
