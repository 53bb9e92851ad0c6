package org.catkinlift.gateway.store;

/**
 * Up to which version a daemon has seen the news of each source.
 *
 * @param operators the newest row of operators
 * @param upstreams the newest row of upstreams
 * @param daemons the newest row of the daemons
 */
public record ObservedVersions(long operators, long upstreams, long daemons) {}
