/** The traffic thread: connections of callers, queued requests and connections to upstreams. */
package org.catkinlift.gateway.traffic;
