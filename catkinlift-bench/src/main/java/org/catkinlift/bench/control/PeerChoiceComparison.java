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
 * Compares the peer selection strategies of coordinators under churn, in virtual time.
 *
 * <p>One cell reads new versions from the platform; all others receive them from their peers. As in
 * {@code DisseminationControl}, a coordinator sends digests every 500 ms and immediately after a
 * change, and the receiver pulls missing versions with one more round trip. All daemon restarts and
 * losses of a day affect coordinators, which is the worst case; the other coordinators know the
 * replacement after 2 s. The strategy based on uptime uses exact uptimes, whereas a real daemon
 * only knows when it first heard of a peer. Each line of the output is one JSON object, and the
 * same seed gives the same output.
 */
public final class PeerChoiceComparison {
  private static final int FAN_OUT = 3;
  private static final Duration ROUND_INTERVAL = Duration.ofMillis(500);
  private static final Duration LATENCY = Duration.ofMillis(40);
  private static final Duration READ_INTERVAL = Duration.ofSeconds(2);

  /**
   * Not a multiple of the read interval, so that the time from a change to the next read varies
   * between 0 and 2 s.
   */
  private static final Duration CHANGE_INTERVAL = Duration.ofMillis(7_300);

  private static final Duration REPLACEMENT_TIME = Duration.ofSeconds(2);
  private static final Duration DEFAULT_DURATION = Duration.ofMinutes(20);
  private static final int RESTARTS_AND_LOSSES_PER_DAY = 1_400 + 58;

  /** Multiples of the churn at the design size. */
  private static final ImmutableList<Integer> CHURN_FACTORS = ImmutableList.of(1, 20);

  private static final ImmutableList<Integer> CELL_COUNTS = ImmutableList.of(12, 100, 300, 594);
  private static final ImmutableList<PeerChoice> CHOICES =
      ImmutableList.of(
          new PeerChoice.RendezvousPerRound(),
          new PeerChoice.RandomDraw(),
          new PeerChoice.LongUptimeTree());

  private final VirtualTimerService timers = new VirtualTimerService();
  private final PeerChoice choice;
  private final int churnFactor;
  private final SplittableRandom random;
  private final Coordinator[] coordinators;
  private final List<Double> propagationSeconds = new ArrayList<>();
  private final Map<Long, Long> writeTimesNanos = new HashMap<>();
  private ImmutableList<Candidate> candidates = ImmutableList.of();
  private long candidatesTimeNanos = -1;
  private long version;
  private long lastPropagatedVersion;
  private long messages;
  private long peerChanges;

  private final class Coordinator {
    private final int cell;
    private final HostId host;
    private final long startNanos;
    private final PeerSelector selector;
    private ImmutableSet<HostId> peers = ImmutableSet.of();
    private boolean running = true;
    private long knownVersion;
    private long round;

    private Coordinator(int cell, int incarnation, long startNanos) {
      this.cell = cell;
      this.host = HostId.of("cell-%d.%d".formatted(cell, incarnation));
      this.startNanos = startNanos;
      this.selector = new PeerSelector(host, choice, random.split());
    }

    private void sendDigests() {
      if (!running) {
        return;
      }
      round++;
      ImmutableSet<HostId> chosen =
          selector.choose(otherCandidates(cell), candidate(this), FAN_OUT, round);
      peerChanges += chosen.equals(peers) ? 0 : 1;
      peers = chosen;
      for (HostId peer : chosen) {
        messages++;
        timers.after(LATENCY, () -> receiveDigest(this, coordinatorOf(peer)));
      }
    }

    private void update(long newVersion) {
      if (!running || newVersion <= knownVersion) {
        return;
      }
      knownVersion = newVersion;
      recordPropagation();
      sendDigests();
    }
  }

  private PeerChoiceComparison(PeerChoice choice, int cells, int churnFactor, long seed) {
    this.choice = choice;
    this.churnFactor = churnFactor;
    this.random = new SplittableRandom(seed);
    this.coordinators = new Coordinator[cells];
    Arrays.setAll(coordinators, c -> new Coordinator(c, 0, -Duration.ofHours(1L + c).toNanos()));
  }

  /**
   * Simulates each strategy with each churn factor and prints one JSON line per run.
   *
   * @param args the seed (default 1), the number of cells (default: all predefined sizes) and the
   *     simulated minutes per run (default 20)
   */
  public static void main(String[] args) {
    long seed = args.length < 1 ? 1 : Long.parseLong(args[0]);
    ImmutableList<Integer> sizes =
        args.length < 2 ? CELL_COUNTS : ImmutableList.of(Integer.parseInt(args[1]));
    Duration duration =
        args.length < 3 ? DEFAULT_DURATION : Duration.ofMinutes(Long.parseLong(args[2]));
    for (int cells : sizes) {
      for (int churnFactor : CHURN_FACTORS) {
        for (PeerChoice choice : CHOICES) {
          System.out.println(
              new PeerChoiceComparison(choice, cells, churnFactor, seed).simulate(duration));
        }
      }
    }
  }

  private String simulate(Duration duration) {
    for (int cell = 0; cell < coordinators.length; cell++) {
      int c = cell;
      Duration phase = Duration.ofNanos(random.nextLong(ROUND_INTERVAL.toNanos()));
      timers.after(phase, () -> timers.every(ROUND_INTERVAL, () -> coordinators[c].sendDigests()));
    }
    timers.every(READ_INTERVAL, () -> coordinators[0].update(version));
    timers.every(CHANGE_INTERVAL, this::writeVersion);
    long churnNanos = Duration.ofDays(1).toNanos() / RESTARTS_AND_LOSSES_PER_DAY / churnFactor;
    timers.every(Duration.ofNanos(churnNanos), this::replaceRandomCoordinator);
    timers.advance(duration);
    return report(duration);
  }

  private void writeVersion() {
    version++;
    writeTimesNanos.put(version, timers.nowNanos());
  }

  /**
   * Stops a random coordinator and starts a new one in its cell after 2 s. A restart and a
   * replacement of a lost daemon are simulated alike, because the other coordinators cannot tell
   * them apart. The first cell, which reads the platform, is exempt.
   */
  private void replaceRandomCoordinator() {
    int cell = 1 + random.nextInt(coordinators.length - 1);
    Coordinator stopped = coordinators[cell];
    if (!stopped.running) {
      return;
    }
    stopped.running = false;
    timers.after(
        REPLACEMENT_TIME,
        () -> {
          int incarnation = Integer.parseInt(stopped.host.value().split("\\.", -1)[1]) + 1;
          coordinators[cell] = new Coordinator(cell, incarnation, timers.nowNanos());
        });
  }

  private void receiveDigest(Coordinator sender, Coordinator receiver) {
    if (!receiver.running || receiver.knownVersion >= sender.knownVersion) {
      return;
    }
    messages += 2;
    timers.after(LATENCY.multipliedBy(2), () -> receiver.update(sender.knownVersion));
  }

  private Coordinator coordinatorOf(HostId host) {
    String name = host.value();
    return coordinators[Integer.parseInt(name.substring(name.indexOf('-') + 1, name.indexOf('.')))];
  }

  private ImmutableList<Candidate> otherCandidates(int cell) {
    if (candidatesTimeNanos != timers.nowNanos()) {
      candidatesTimeNanos = timers.nowNanos();
      candidates =
          Arrays.stream(coordinators).map(this::candidate).collect(ImmutableList.toImmutableList());
    }
    return ImmutableList.<Candidate>builder()
        .addAll(candidates.subList(0, cell))
        .addAll(candidates.subList(cell + 1, candidates.size()))
        .build();
  }

  private Candidate candidate(Coordinator coordinator) {
    return new Candidate(
        coordinator.host, Duration.ofNanos(timers.nowNanos() - coordinator.startNanos));
  }

  private void recordPropagation() {
    long oldestVersion =
        Arrays.stream(coordinators)
            .filter(c -> c.running)
            .mapToLong(c -> c.knownVersion)
            .min()
            .orElse(0);
    for (long propagated = lastPropagatedVersion + 1; propagated <= oldestVersion; propagated++) {
      propagationSeconds.add((timers.nowNanos() - writeTimesNanos.get(propagated)) / 1e9);
    }
    lastPropagatedVersion = Math.max(lastPropagatedVersion, oldestVersion);
  }

  private String report(Duration duration) {
    Collections.sort(propagationSeconds);
    double hours = duration.toMinutes() / 60.0;
    return String.format(
        Locale.ROOT,
        "{\"cells\":%d,\"choice\":\"%s\",\"churn_per_day\":%d,\"changes\":%d,\"reached_all\":%d,"
            + "\"median_s\":%.2f,\"p99_s\":%.2f,\"max_s\":%.2f,"
            + "\"messages_per_s_and_cell\":%.2f,\"peer_changes_per_hour_and_cell\":%.0f}",
        coordinators.length,
        choice.getClass().getSimpleName(),
        RESTARTS_AND_LOSSES_PER_DAY * churnFactor,
        version,
        propagationSeconds.size(),
        quantile(0.5),
        quantile(0.99),
        quantile(1),
        messages / (double) duration.toSeconds() / coordinators.length,
        peerChanges / hours / coordinators.length);
  }

  private double quantile(double fraction) {
    if (propagationSeconds.isEmpty()) {
      return Double.POSITIVE_INFINITY;
    }
    return propagationSeconds.get((int) Math.ceil(fraction * propagationSeconds.size()) - 1);
  }
}
