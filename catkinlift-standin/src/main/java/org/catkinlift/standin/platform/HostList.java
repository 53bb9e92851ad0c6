package org.catkinlift.standin.platform;

import com.google.common.collect.ImmutableList;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/**
 * A snapshot of the existing hosts.
 *
 * @param live the live hosts
 * @param leaving the hosts that are scheduled to leave
 */
public record HostList(ImmutableList<HostDefinition> live, ImmutableList<HostId> leaving) {

  /** A list without hosts. */
  public static final HostList EMPTY = new HostList(ImmutableList.of(), ImmutableList.of());
}
