/** The caller-facing HTTP server and the entry side of each request. */
package org.catkinlift.daemon.http;
