/**
 * Scenarios of the traffic path: tail latency, load balance, retries, cold starts and silent
 * connections.
 */
package org.catkinlift.bench.traffic;
