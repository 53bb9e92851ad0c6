package org.catkinlift.standin.upstream;

/**
 * The load that an upstream reports, true or not.
 *
 * @param running the requests in execution
 * @param waiting the requests that wait for an execution slot
 */
public record LoadReport(int running, int waiting) {}
