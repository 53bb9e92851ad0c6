package org.catkinlift.ranges;

import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;

/**
 * The content of the store row that represents the coordinator role. An empty row means that nobody
 * holds the role.
 *
 * @param holder the host that holds the role
 * @param incarnation distinguishes the restarts of the holder's daemon
 * @param sequence the number of the write within one incarnation, by which a write without an
 *     answer is recognized when the row is read
 * @param peerAddress the address at which the holder accepts messages from other daemons
 */
public record LeaseRow(
    HostId holder, long incarnation, long sequence, NetworkAddress peerAddress) {}
