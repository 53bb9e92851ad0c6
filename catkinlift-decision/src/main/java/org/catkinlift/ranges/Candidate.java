package org.catkinlift.ranges;

import org.catkinlift.upstreams.UpstreamRecord;

/**
 * An upstream that keys can be assigned to.
 *
 * @param upstream what it states about itself
 * @param capacity the busy slots that it bears: its slots at its present speed; positive
 * @param acceptsMoreKeys whether it may get more keys; a cold one keeps those that it has
 */
public record Candidate(UpstreamRecord upstream, double capacity, boolean acceptsMoreKeys) {}
