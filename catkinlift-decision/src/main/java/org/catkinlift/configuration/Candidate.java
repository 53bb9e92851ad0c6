package org.catkinlift.configuration;

import java.time.Duration;
import org.catkinlift.model.HostId;

/**
 * A peer that may get a digest.
 *
 * @param host the peer
 * @param uptime the time since the sender first heard of it
 */
public record Candidate(HostId host, Duration uptime) {}
