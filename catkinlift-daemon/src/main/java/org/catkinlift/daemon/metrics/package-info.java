/** The daemon's metrics and their text form. */
package org.catkinlift.daemon.metrics;
