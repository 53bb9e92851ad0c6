/** Scenarios on virtual time and their report. */
package org.catkinlift.bench;
