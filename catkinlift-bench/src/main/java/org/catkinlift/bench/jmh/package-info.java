/** Microbenchmarks of request routing, admission and encoding. */
package org.catkinlift.bench.jmh;
