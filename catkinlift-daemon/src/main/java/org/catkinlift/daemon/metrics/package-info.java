/** The daemon's metrics and their Prometheus text format. */
package org.catkinlift.daemon.metrics;
