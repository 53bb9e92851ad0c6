package org.catkinlift.ranges;

/**
 * How far a coordinator has carried out its map.
 *
 * @param ranges the number of assigned ranges
 * @param granted the number of ranges whose holder has confirmed a grant of this coordinator
 * @param openCalls the number of grants and releases without a result
 */
public record GrantProgress(int ranges, int granted, int openCalls) {}
