/** Timers on real and on virtual time. */
package org.catkinlift.timer;
