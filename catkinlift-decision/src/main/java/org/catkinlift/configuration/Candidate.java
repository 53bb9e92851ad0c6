package org.catkinlift.configuration;

import java.time.Duration;
import org.catkinlift.model.HostId;

/**
 * A peer that may receive a digest.
 *
 * @param host the peer
 * @param uptime how long the sender of the digest has known the peer
 */
public record Candidate(HostId host, Duration uptime) {}
