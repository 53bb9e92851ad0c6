package org.catkinlift.model;

/**
 * A host that runs a daemon.
 *
 * <p>Hosts join and leave without operator action, so they are not part of the configuration. They
 * are discovered from the platform's host list and the {@code Hello} messages of peers.
 *
 * @param id the host
 * @param zone its availability zone
 * @param cell the cell of its daemon
 * @param peerAddress the address at which its daemon listens for the inner protocol
 */
public record HostDefinition(HostId id, ZoneName zone, CellId cell, NetworkAddress peerAddress) {}
