/**
 * Exclusive ownership of key ranges: one coordinator assigns ranges to upstreams, writes each
 * assignment to the store before it takes effect, and grants it for a limited time.
 */
package org.catkinlift.ranges;
