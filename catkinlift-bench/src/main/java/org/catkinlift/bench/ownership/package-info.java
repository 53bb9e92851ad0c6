/** Ownership scenarios and the fakes that they and the ownership tests share. */
package org.catkinlift.bench.ownership;
