package org.catkinlift.gateway.peer;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.catkinlift.admission.AdmissionShares;
import org.catkinlift.gateway.store.NewsRow;
import org.catkinlift.gateway.store.NewsVersions;
import org.catkinlift.model.HostId;

/**
 * The answer to a {@link LoadReport}.
 *
 * @param host the host that answers
 * @param hasRole whether it has the coordinator role
 * @param leaseVersion the version of its latest write of the role's row
 * @param daemons the number of daemons that report
 * @param strongestProcessor the processor time of the strongest host that reports, in cores
 * @param news up to which version it has seen the store's news
 * @param shares what overloaded upstreams can take
 * @param passesNewsOn whether the reporting daemon may leave it to this one to ask the store
 * @param tolerance for how long upstreams that are not listed may still be listed again
 * @param rows the store's news that the reporting daemon has not seen
 */
public record CoordinatorReply(
    HostId host,
    boolean hasRole,
    long leaseVersion,
    int daemons,
    double strongestProcessor,
    NewsVersions news,
    AdmissionShares shares,
    boolean passesNewsOn,
    Duration tolerance,
    ImmutableList<NewsRow> rows) {}
