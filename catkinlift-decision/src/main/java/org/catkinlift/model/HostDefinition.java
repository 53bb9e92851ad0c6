package org.catkinlift.model;

/**
 * Describes a host that runs a daemon.
 *
 * <p>Hosts come and go without an operator, so they are no part of the configuration; the
 * platform's host list and the peers' greetings name them.
 *
 * @param id the host
 * @param zone its availability zone
 * @param cell the cell of its daemon
 * @param peerAddress where its daemon listens for the inner protocol
 */
public record HostDefinition(HostId id, ZoneName zone, CellId cell, NetworkAddress peerAddress) {}
