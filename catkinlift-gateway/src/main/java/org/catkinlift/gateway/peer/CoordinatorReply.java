package org.catkinlift.gateway.peer;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.gateway.store.ObservedVersions;
import org.catkinlift.gateway.store.RowChange;
import org.catkinlift.model.HostId;

/**
 * The answer to a {@link LoadReport}.
 *
 * @param host the host that answers
 * @param isCoordinator whether it has the coordinator role
 * @param leaseVersion the version of its latest write of the role's row
 * @param daemonCount the number of daemons that report
 * @param maxCpuCapacity the processor time of the strongest host that reports, in cores
 * @param observedVersions up to which version it has seen the store's news
 * @param shares what overloaded upstreams can take
 * @param relaysUpdates whether the reporting daemon may leave it to this one to ask the store
 * @param gracePeriod for how long upstreams that are not listed may still be listed again
 * @param changes the store's news that the reporting daemon has not seen
 */
public record CoordinatorReply(
    HostId host,
    boolean isCoordinator,
    long leaseVersion,
    int daemonCount,
    double maxCpuCapacity,
    ObservedVersions observedVersions,
    AdmissionShares shares,
    boolean relaysUpdates,
    Duration gracePeriod,
    ImmutableList<RowChange> changes) {}
