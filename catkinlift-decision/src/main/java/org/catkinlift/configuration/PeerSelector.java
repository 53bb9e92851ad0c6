package org.catkinlift.configuration;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.SplittableRandom;
import org.catkinlift.model.HostId;

/** Chooses the peers that receive a digest in one round. */
public final class PeerSelector {
  private static final HashFunction HASH = Hashing.farmHashFingerprint64();
  private static final Comparator<Candidate> BY_UPTIME =
      Comparator.comparing(Candidate::uptime).reversed().thenComparing(Candidate::host);

  private final HostId self;
  private final PeerChoice choice;
  private final SplittableRandom random;

  /**
   * Creates a selector.
   *
   * @param self the sender
   * @param choice the strategy
   * @param random the source of random numbers; used by {@link PeerChoice.RandomDraw} only
   */
  public PeerSelector(HostId self, PeerChoice choice, SplittableRandom random) {
    this.self = self;
    this.choice = choice;
    this.random = random;
  }

  /**
   * Chooses peers.
   *
   * @param candidates one peer of each other cell
   * @param own this daemon as a candidate, for strategies that rank it among the peers
   * @param count the number of peers
   * @param round the number of the round
   * @return the chosen peers; fewer than {@code count} if there are not enough candidates
   */
  public ImmutableSet<HostId> choose(
      ImmutableList<Candidate> candidates, Candidate own, int count, long round) {
    return switch (choice) {
      case PeerChoice.RendezvousPerRound c -> byHash(candidates, count, round);
      case PeerChoice.RandomDraw c -> atRandom(candidates, count);
      case PeerChoice.LongUptimeTree c -> neighboursInTree(candidates, own, count);
    };
  }

  private ImmutableSet<HostId> byHash(ImmutableList<Candidate> candidates, int count, long round) {
    return candidates.stream()
        .map(Candidate::host)
        .map(h -> new Ranked(rank(h, round), h))
        .sorted()
        .limit(count)
        .map(Ranked::host)
        .collect(ImmutableSet.toImmutableSet());
  }

  private long rank(HostId host, long round) {
    return HASH.newHasher()
        .putLong(round)
        .putString(self.value(), UTF_8)
        .putString(host.value(), UTF_8)
        .hash()
        .asLong();
  }

  private ImmutableSet<HostId> atRandom(ImmutableList<Candidate> candidates, int count) {
    var drawn = new LinkedHashSet<HostId>();
    int limit = Math.min(count, candidates.size());
    while (drawn.size() < limit) {
      drawn.add(candidates.get(random.nextInt(candidates.size())).host());
    }
    return ImmutableSet.copyOf(drawn);
  }

  /** Returns the parent and the children of this daemon in a heap-shaped tree ordered by uptime. */
  private ImmutableSet<HostId> neighboursInTree(
      ImmutableList<Candidate> candidates, Candidate own, int count) {
    ImmutableList<HostId> order =
        ImmutableList.<Candidate>builder().addAll(candidates).add(own).build().stream()
            .sorted(BY_UPTIME)
            .map(Candidate::host)
            .collect(toImmutableList());
    int position = order.indexOf(own.host());
    int degree = Math.max(1, count - 1);
    var peers = new LinkedHashSet<HostId>();
    if (position > 0) {
      peers.add(order.get((position - 1) / degree));
    }
    for (int child = position * degree + 1; child <= position * degree + degree; child++) {
      if (child < order.size()) {
        peers.add(order.get(child));
      }
    }
    return ImmutableSet.copyOf(peers);
  }

  private record Ranked(long rank, HostId host) implements Comparable<Ranked> {
    @Override
    public int compareTo(Ranked other) {
      return Long.compare(rank, other.rank);
    }
  }
}
