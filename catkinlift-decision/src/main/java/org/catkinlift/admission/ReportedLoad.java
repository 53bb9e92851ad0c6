package org.catkinlift.admission;

/**
 * What an upstream said of its load in an answer.
 *
 * @param running the requests that it executes
 * @param waiting the requests in its queue
 * @param slots the requests that it can execute at once
 * @param slowdown how long work takes at the moment compared with usual; 1 is as usual
 */
public record ReportedLoad(int running, int waiting, int slots, double slowdown) {}
