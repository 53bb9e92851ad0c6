/** Measurements of control traffic, processing time and memory use for capacity planning. */
package org.catkinlift.bench.control;
