/** The HTTP client for upstreams. */
package org.catkinlift.daemon.upstream;
