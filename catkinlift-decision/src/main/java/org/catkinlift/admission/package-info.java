/** Decides which request waits, which is rejected, and which upstream gets the next one. */
package org.catkinlift.admission;
