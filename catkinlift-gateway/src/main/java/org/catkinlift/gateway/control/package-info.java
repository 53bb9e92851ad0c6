/** The control thread: configuration, upstreams, the coordinator role and the ownership of keys. */
package org.catkinlift.gateway.control;
