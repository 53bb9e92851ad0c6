package org.catkinlift.admission;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import org.catkinlift.admission.ConnectionLimit.Candidate;
import org.catkinlift.admission.ConnectionLimit.Use;
import org.junit.jupiter.api.Test;

/** Guards against clients that occupy all connections without sending a request. */
final class ConnectionLimitTest {
  @Test
  void isExceededAboveTheLimitOnly() {
    var limit = new ConnectionLimit(2);

    assertThat(limit.isExceeded(2)).isFalse();
    assertThat(limit.isExceeded(3)).isTrue();
  }

  @Test
  void replacesOldestUnfinishedRequestBeforeIdleConnections() {
    var candidates =
        ImmutableList.of(
            new Candidate<>("answering", Use.ANSWERING, 1),
            new Candidate<>("idle", Use.IDLE, 2),
            new Candidate<>("receiving late", Use.RECEIVING, 9),
            new Candidate<>("receiving", Use.RECEIVING, 5));

    assertThat(ConnectionLimit.replaceable(candidates)).hasValue("receiving");
    assertThat(ConnectionLimit.replaceable(candidates.subList(0, 2))).hasValue("idle");
    assertThat(ConnectionLimit.replaceable(candidates.subList(0, 1))).isEmpty();
  }
}
