/** The dispatcher side of each request and the HTTP client towards upstreams. */
package org.catkinlift.daemon.upstream;
