package org.catkinlift.ranges;

import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.upstreams.UpstreamRecord;

/** Creates upstreams for tests with many of them. */
final class TestCandidates {
  static final int SLOTS = 4;
  private static final int ADDRESSES_PER_SUBNET = 250;

  private TestCandidates() {}

  static Candidate candidate(int number, long startedMillis) {
    int subnet = number / ADDRESSES_PER_SUBNET;
    int host = number % ADDRESSES_PER_SUBNET + 1;
    var upstream =
        UpstreamRecord.builder()
            .id(UpstreamId.of("u-" + number))
            .startedMillis(startedMillis)
            .service(ServiceName.of("desk"))
            .address(NetworkAddress.of("10.0." + subnet + "." + host, 80))
            .zone(ZoneName.of("z"))
            .concurrencyLimit(SLOTS)
            .build();
    return new Candidate(upstream, SLOTS, true);
  }
}
