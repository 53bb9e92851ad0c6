/**
 * What the daemon needs of the store that keeps its durable state, without the store's protocol.
 */
package org.catkinlift.gateway.store;
