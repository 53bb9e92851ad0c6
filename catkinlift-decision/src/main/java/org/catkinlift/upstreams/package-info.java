/**
 * Registration records of upstreams, and the status that decides which of them may receive new
 * work.
 */
package org.catkinlift.upstreams;
