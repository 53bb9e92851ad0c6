/** The daemon process that routes callers to the upstreams that own their keys. */
package org.catkinlift.gateway;
