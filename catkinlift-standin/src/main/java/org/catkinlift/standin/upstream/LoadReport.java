package org.catkinlift.standin.upstream;

/**
 * The load that an upstream reports, which may differ from its actual load.
 *
 * @param running the number of requests in execution
 * @param waiting the number of requests queued for an execution slot
 */
public record LoadReport(int running, int waiting) {}
