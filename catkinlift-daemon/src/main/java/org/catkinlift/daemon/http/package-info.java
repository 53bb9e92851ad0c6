/** The caller-facing HTTP server, and the routing, retries and hedging of each request. */
package org.catkinlift.daemon.http;
