/** Benchmark scenarios in virtual time, their command line and their output. */
package org.catkinlift.bench;
