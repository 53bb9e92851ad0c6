package org.catkinlift.gateway.store;

/**
 * The newest row version that a daemon has observed of each source.
 *
 * @param operators the version of the operators' rows
 * @param upstreams the version of the upstreams' rows
 * @param daemons the version of the daemons' own rows
 */
public record ObservedVersions(long operators, long upstreams, long daemons) {}
