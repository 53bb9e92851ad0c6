/** The traffic thread: callers' connections, waiting requests, connections to upstreams. */
package org.catkinlift.gateway.traffic;
