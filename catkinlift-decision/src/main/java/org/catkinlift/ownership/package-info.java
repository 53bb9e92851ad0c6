/**
 * Coordination of a cell: acquisition of the coordinator role, slot ownership, grants to upstreams
 * and dispatch leases.
 */
package org.catkinlift.ownership;
