/** The assignment of slots to upstreams. */
package org.catkinlift.placement;
