/** A bounded exhaustive search for violations of exclusive ownership by a range coordinator. */
package org.catkinlift.ranges.explore;
