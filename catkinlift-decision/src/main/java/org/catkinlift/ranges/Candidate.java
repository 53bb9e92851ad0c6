package org.catkinlift.ranges;

import org.catkinlift.upstreams.UpstreamRecord;

/**
 * An upstream that keys can be assigned to.
 *
 * @param upstream the record that the upstream published
 * @param capacity the number of slots that it can keep busy at its current speed; positive
 * @param acceptsMoreKeys whether further keys may be assigned to it; a cold upstream only keeps the
 *     keys that it already has
 */
public record Candidate(UpstreamRecord upstream, double capacity, boolean acceptsMoreKeys) {}
