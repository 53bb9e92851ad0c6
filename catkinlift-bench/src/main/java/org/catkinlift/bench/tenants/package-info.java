/** Measures what tenants cost by their number. */
package org.catkinlift.bench.tenants;
