package org.catkinlift.ranges.explore;

import java.util.Optional;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.ranges.Candidate;
import org.catkinlift.upstreams.UpstreamRecord;

/** The upstream at one address: one process after another, under the same id. */
final class ExploredUpstream {
  private static final int CONCURRENCY_LIMIT = 4;

  private final int index;
  private long starts;
  private Optional<ExploredProcess> process = Optional.empty();

  ExploredUpstream(int index) {
    this.index = index;
    start();
  }

  /** Creates a copy. */
  ExploredUpstream(ExploredUpstream original) {
    index = original.index;
    starts = original.starts;
    process = original.process.map(ExploredProcess::new);
  }

  void start() {
    starts++;
    process = Optional.of(new ExploredProcess("u-" + index));
  }

  void crash() {
    process = Optional.empty();
  }

  /** Returns the process that is up, or empty while none is. */
  Optional<ExploredProcess> process() {
    return process;
  }

  /** Returns the last start as the directory would list it. */
  Candidate candidate() {
    UpstreamRecord upstream =
        UpstreamRecord.builder()
            .id(UpstreamId.of("u-" + index))
            .startedMillis(starts)
            .service(ServiceName.of("desk"))
            .address(NetworkAddress.of("10.0.0." + (index + 1), 80))
            .zone(ZoneName.of("z"))
            .concurrencyLimit(CONCURRENCY_LIMIT)
            .build();
    return new Candidate(upstream, CONCURRENCY_LIMIT, true);
  }
}
