/** Replays of load patterns against the admission code, on virtual time. */
package org.catkinlift.admission.replay;
