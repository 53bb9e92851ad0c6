package org.catkinlift.admission;

/**
 * The load that an upstream reported in an answer.
 *
 * @param running the number of requests being executed
 * @param waiting the number of requests in its queue
 * @param slots the number of requests that it can execute concurrently
 * @param slowdown the current service time divided by the normal one
 */
public record ReportedLoad(int running, int waiting, int slots, double slowdown) {}
