/** Scenarios of the traffic path: tail latency, balance, retries, cold starts and connections. */
package org.catkinlift.bench.traffic;
