package org.catkinlift.admission.replay;

import org.catkinlift.admission.Urgency;

/**
 * One attempt of a caller.
 *
 * @param urgency the priority, target and deadline of the request
 * @param workNanos the service time at an upstream of normal speed
 * @param value the value of an answer that meets the target
 */
record SimulatedRequest(Urgency urgency, long workNanos, double value) {}
