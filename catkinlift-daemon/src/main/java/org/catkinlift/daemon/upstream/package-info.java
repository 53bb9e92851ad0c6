/** Dispatches attempts to upstreams over HTTP and sends control requests to upstreams. */
package org.catkinlift.daemon.upstream;
