/** Counters and latency histograms, served as text. */
package org.catkinlift.gateway.metrics;
