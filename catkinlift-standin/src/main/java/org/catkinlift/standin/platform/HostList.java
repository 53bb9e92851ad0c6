package org.catkinlift.standin.platform;

import com.google.common.collect.ImmutableList;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;

/**
 * The hosts that exist at one moment.
 *
 * @param live the live hosts
 * @param leaving the hosts that are about to leave
 */
public record HostList(ImmutableList<HostDefinition> live, ImmutableList<HostId> leaving) {

  /** The list without hosts. */
  public static final HostList EMPTY = new HostList(ImmutableList.of(), ImmutableList.of());
}
