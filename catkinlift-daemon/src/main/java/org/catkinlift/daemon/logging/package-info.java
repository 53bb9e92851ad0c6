/** One logging path: decision events and library messages as lines on standard error. */
package org.catkinlift.daemon.logging;
