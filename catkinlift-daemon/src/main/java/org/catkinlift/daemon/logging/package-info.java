/** Logging of decision events and library messages as lines in one format. */
package org.catkinlift.daemon.logging;
