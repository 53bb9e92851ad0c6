/**
 * Interfaces and types for access to the store of the daemons' durable state, independent of its
 * protocol.
 */
package org.catkinlift.gateway.store;
