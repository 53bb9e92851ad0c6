/** Micro-benchmarks of the decisions on the path of each request. */
package org.catkinlift.bench.jmh;
