package org.catkinlift.ranges;

import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;

/**
 * What the store holds about the coordinator role.
 *
 * @param holder the host that has the role; empty text of {@code host} stands for nobody
 * @param incarnation tells lives of the holder's daemon apart
 * @param sequence counts the writes of one life, so that a write without an answer can be
 *     recognised
 * @param peerAddress where the holder takes messages from other daemons
 */
public record LeaseRow(
    HostId holder, long incarnation, long sequence, NetworkAddress peerAddress) {}
