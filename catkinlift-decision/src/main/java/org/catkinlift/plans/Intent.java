package org.catkinlift.plans;

import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;

/** What an operator wants; nothing changes before the resulting plan is confirmed. */
public sealed interface Intent {

  /**
   * Creates a service or replaces its definition.
   *
   * @param definition the wanted definition
   */
  record PutService(ServiceDefinition definition) implements Intent {}

  /**
   * Removes a service.
   *
   * @param service the service
   */
  record RemoveService(ServiceName service) implements Intent {}

  /**
   * Takes an availability zone out.
   *
   * @param zone the availability zone
   */
  record DrainZone(ZoneName zone) implements Intent {}

  /**
   * Brings an availability zone back that was drained or declared lost.
   *
   * @param zone the availability zone
   */
  record ReturnZone(ZoneName zone) implements Intent {}

  /**
   * Declares that an availability zone has stopped and that others may take its slots.
   *
   * @param zone the availability zone
   * @param hostsAreOff whether the operator states that the hosts are switched off
   */
  record DeclareZoneLost(ZoneName zone, boolean hostsAreOff) implements Intent {}

  /**
   * Takes an upstream out for good.
   *
   * @param upstream the upstream
   */
  record RetireUpstream(UpstreamId upstream) implements Intent {}

  /**
   * Takes a host out for good.
   *
   * @param host the host
   */
  record RetireHost(HostId host) implements Intent {}
}
