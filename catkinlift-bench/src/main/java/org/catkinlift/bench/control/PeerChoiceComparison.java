package org.catkinlift.bench.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import org.catkinlift.configuration.Candidate;
import org.catkinlift.configuration.PeerChoice;
import org.catkinlift.configuration.PeerSelector;
import org.catkinlift.model.HostId;
import org.catkinlift.timer.VirtualTimerService;

/**
 * Compares the rules by which coordinators choose peers, under churn on virtual time.
 *
 * <p>One cell reads the platform; all others depend on their peers. Coordinators send digests every
 * 500 ms and at once after a change, and pull with one more round trip, as {@code
 * DisseminationControl} does. All restarts and losses of the day hit coordinators, which is the
 * worst case; a replacement is known to the others 2 s later. The rule by uptime gets the exact
 * uptimes, although a daemon only knows when it first heard of a peer. Each line of the output is
 * one JSON object; the same seed gives the same output.
 */
public final class PeerChoiceComparison {
  private static final int FAN_OUT = 3;
  private static final Duration ROUND = Duration.ofMillis(500);
  private static final Duration LATENCY = Duration.ofMillis(40);
  private static final Duration READ_INTERVAL = Duration.ofSeconds(2);

  /** No multiple of the read interval, so that changes wait from 0 to 2 s for the next read. */
  private static final Duration CHANGE_INTERVAL = Duration.ofMillis(7_300);

  private static final Duration REPLACEMENT = Duration.ofSeconds(2);
  private static final Duration DURATION = Duration.ofMinutes(20);
  private static final int EVENTS_PER_DAY = 1_400 + 58;
  private static final ImmutableList<Integer> CELLS = ImmutableList.of(12, 100, 300, 594);
  private static final ImmutableList<PeerChoice> CHOICES =
      ImmutableList.of(
          new PeerChoice.RendezvousPerRound(),
          new PeerChoice.RandomDraw(),
          new PeerChoice.LongUptimeTree());

  private final VirtualTimerService timers = new VirtualTimerService();
  private final PeerChoice choice;
  private final int churnFactor;
  private final SplittableRandom random;
  private final Node[] nodes;
  private final List<Double> secondsToAll = new ArrayList<>();
  private final Map<Long, Long> writtenNanos = new HashMap<>();
  private ImmutableList<Candidate> candidates = ImmutableList.of();
  private long candidatesNanos = -1;
  private long version;
  private long completed;
  private long messages;
  private long peerChanges;

  /** The coordinator of one cell. */
  private final class Node {
    private final int cell;
    private final HostId host;
    private final long sinceNanos;
    private final PeerSelector selector;
    private ImmutableSet<HostId> peers = ImmutableSet.of();
    private boolean up = true;
    private long has;
    private long round;

    private Node(int cell, int run, long sinceNanos) {
      this.cell = cell;
      this.host = HostId.of("cell-%d.%d".formatted(cell, run));
      this.sinceNanos = sinceNanos;
      this.selector = new PeerSelector(host, choice, random.split());
    }

    private void push() {
      if (!up) {
        return;
      }
      round++;
      ImmutableSet<HostId> chosen = selector.choose(others(cell), candidate(this), FAN_OUT, round);
      peerChanges += chosen.equals(peers) ? 0 : 1;
      peers = chosen;
      for (HostId peer : chosen) {
        messages++;
        timers.after(LATENCY, () -> receive(this, nodeOf(peer)));
      }
    }

    private void take(long newer) {
      if (!up || newer <= has) {
        return;
      }
      has = newer;
      checkCompleted();
      push();
    }
  }

  private PeerChoiceComparison(PeerChoice choice, int cells, int churnFactor, long seed) {
    this.choice = choice;
    this.churnFactor = churnFactor;
    this.random = new SplittableRandom(seed);
    this.nodes = new Node[cells];
    Arrays.setAll(nodes, c -> new Node(c, 0, -Duration.ofHours(1L + c).toNanos()));
  }

  /**
   * Runs all rules at all sizes.
   *
   * @param args the seed; 1 if absent
   */
  public static void main(String[] args) {
    long seed = args.length == 0 ? 1 : Long.parseLong(args[0]);
    for (int cells : CELLS) {
      for (PeerChoice choice : CHOICES) {
        for (int churnFactor : ImmutableList.of(1, 20)) {
          System.out.println(new PeerChoiceComparison(choice, cells, churnFactor, seed).run());
        }
      }
    }
  }

  private String run() {
    for (int cell = 0; cell < nodes.length; cell++) {
      int c = cell;
      Duration phase = Duration.ofNanos(random.nextLong(ROUND.toNanos()));
      timers.after(phase, () -> timers.every(ROUND, () -> nodes[c].push()));
    }
    timers.every(READ_INTERVAL, () -> nodes[0].take(version));
    timers.every(CHANGE_INTERVAL, this::write);
    long churnNanos = Duration.ofDays(1).toNanos() / EVENTS_PER_DAY / churnFactor;
    timers.every(Duration.ofNanos(churnNanos), this::replaceOne);
    timers.advance(DURATION);
    return report();
  }

  private void write() {
    version++;
    writtenNanos.put(version, timers.nowNanos());
  }

  /** A restart and a replacement look the same to the others: the daemon is gone for 2 s. */
  private void replaceOne() {
    int cell = 1 + random.nextInt(nodes.length - 1);
    Node gone = nodes[cell];
    if (!gone.up) {
      return;
    }
    gone.up = false;
    timers.after(
        REPLACEMENT,
        () -> {
          int run = Integer.parseInt(gone.host.value().split("\\.", -1)[1]) + 1;
          nodes[cell] = new Node(cell, run, timers.nowNanos());
        });
  }

  private void receive(Node sender, Node receiver) {
    if (!receiver.up || receiver.has >= sender.has) {
      return;
    }
    messages += 2;
    timers.after(LATENCY.multipliedBy(2), () -> receiver.take(sender.has));
  }

  private Node nodeOf(HostId host) {
    String name = host.value();
    return nodes[Integer.parseInt(name.substring(name.indexOf('-') + 1, name.indexOf('.')))];
  }

  private ImmutableList<Candidate> others(int cell) {
    if (candidatesNanos != timers.nowNanos()) {
      candidatesNanos = timers.nowNanos();
      candidates =
          Arrays.stream(nodes).map(this::candidate).collect(ImmutableList.toImmutableList());
    }
    return ImmutableList.<Candidate>builder()
        .addAll(candidates.subList(0, cell))
        .addAll(candidates.subList(cell + 1, candidates.size()))
        .build();
  }

  private Candidate candidate(Node node) {
    return new Candidate(node.host, Duration.ofNanos(timers.nowNanos() - node.sinceNanos));
  }

  private void checkCompleted() {
    long all = Arrays.stream(nodes).filter(n -> n.up).mapToLong(n -> n.has).min().orElse(0);
    for (long done = completed + 1; done <= all; done++) {
      secondsToAll.add((timers.nowNanos() - writtenNanos.get(done)) / 1e9);
    }
    completed = Math.max(completed, all);
  }

  private String report() {
    Collections.sort(secondsToAll);
    double hours = DURATION.toMinutes() / 60.0;
    return String.format(
        Locale.ROOT,
        "{\"cells\":%d,\"choice\":\"%s\",\"churn_per_day\":%d,\"changes\":%d,\"reached_all\":%d,"
            + "\"median_s\":%.2f,\"p99_s\":%.2f,\"max_s\":%.2f,"
            + "\"messages_per_s_and_cell\":%.2f,\"peer_changes_per_hour_and_cell\":%.0f}",
        nodes.length,
        choice.getClass().getSimpleName(),
        EVENTS_PER_DAY * churnFactor,
        version,
        secondsToAll.size(),
        quantile(0.5),
        quantile(0.99),
        quantile(1),
        messages / (double) DURATION.toSeconds() / nodes.length,
        peerChanges / hours / nodes.length);
  }

  private double quantile(double share) {
    if (secondsToAll.isEmpty()) {
      return Double.POSITIVE_INFINITY;
    }
    return secondsToAll.get((int) Math.ceil(share * secondsToAll.size()) - 1);
  }
}
