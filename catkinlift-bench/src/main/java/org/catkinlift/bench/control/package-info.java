/** Measurements of the control parts at several sizes, for the capacity page. */
package org.catkinlift.bench.control;
