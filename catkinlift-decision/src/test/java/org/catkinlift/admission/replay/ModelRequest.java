package org.catkinlift.admission.replay;

import org.catkinlift.admission.Urgency;

/**
 * One attempt of a caller.
 *
 * @param urgency when it must be answered
 * @param workNanos how long an upstream of usual speed works on it
 * @param worth what an answer in time is worth
 */
record ModelRequest(Urgency urgency, long workNanos, double worth) {}
