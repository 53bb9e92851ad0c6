package org.catkinlift.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashSet;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.catkinlift.model.HostId;
import org.junit.jupiter.api.Test;

final class PeerSelectorTest {
  private static final ImmutableList<Candidate> CANDIDATES =
      IntStream.range(0, 20)
          .mapToObj(i -> new Candidate(HostId.of("host-%02d".formatted(i)), Duration.ofHours(i)))
          .collect(ImmutableList.toImmutableList());

  private static PeerSelector selector(PeerChoice choice) {
    return new PeerSelector(HostId.of("self"), choice, new SplittableRandom(1));
  }

  private static Candidate self(Duration uptime) {
    return new Candidate(HostId.of("self"), uptime);
  }

  /** Guards against a strategy that never chooses some of the peers. */
  @Test
  void rendezvousReachesAllPeersOverTheRounds() {
    PeerSelector selector = selector(new PeerChoice.RendezvousPerRound());
    var reached = new HashSet<HostId>();
    for (int round = 0; round < 60; round++) {
      ImmutableSet<HostId> peers = selector.choose(CANDIDATES, self(Duration.ZERO), 3, round);
      assertThat(peers).hasSize(3);
      reached.addAll(peers);
    }
    assertThat(reached).hasSize(20);
  }

  /** Guards against an endless loop when there are fewer candidates than requested peers. */
  @Test
  void randomDrawTakesAllOfFewCandidates() {
    PeerSelector selector = selector(new PeerChoice.RandomDraw());
    assertThat(selector.choose(CANDIDATES.subList(0, 2), self(Duration.ZERO), 3, 1)).hasSize(2);
  }

  /** Guards against daemons with a short uptime that forward values to others. */
  @Test
  void daemonWithTheShortestUptimeIsALeafOfTheTree() {
    PeerSelector selector = selector(new PeerChoice.LongUptimeTree());
    assertThat(selector.choose(CANDIDATES, self(Duration.ZERO), 3, 1)).hasSize(1);
    assertThat(selector.choose(CANDIDATES, self(Duration.ofDays(9)), 3, 1)).hasSize(2);
  }
}
