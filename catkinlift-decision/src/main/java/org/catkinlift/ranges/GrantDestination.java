package org.catkinlift.ranges;

import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.UpstreamId;

/**
 * Where a grant is sent. An upstream that starts again under its id and address is the same
 * destination.
 *
 * @param upstream the upstream that the grant names; any other upstream at the address rejects it
 * @param address the address
 */
record GrantDestination(UpstreamId upstream, NetworkAddress address) {}
