/** Structured log lines on standard output. */
package org.catkinlift.gateway.logging;
