package org.catkinlift.admission.replay;

import org.catkinlift.admission.Urgency;

/**
 * One attempt of a caller.
 *
 * @param urgency when it must be answered
 * @param workNanos how long an upstream of usual speed works on it
 * @param value what an answer in time is worth
 */
record SimulatedRequest(Urgency urgency, long workNanos, double value) {}
