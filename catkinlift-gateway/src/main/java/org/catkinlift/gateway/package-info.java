/** The daemon process that routes requests of callers to the upstreams that hold their keys. */
package org.catkinlift.gateway;
