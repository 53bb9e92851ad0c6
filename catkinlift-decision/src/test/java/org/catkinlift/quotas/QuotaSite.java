package org.catkinlift.quotas;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import org.catkinlift.model.HostId;
import org.catkinlift.model.TenantName;
import org.catkinlift.shares.ShareReport;
import org.catkinlift.tenants.Quota;
import org.catkinlift.tenants.Tenant;

/** Hosts that share quotas by reports to a coordinator, on virtual time. */
final class QuotaSite {
  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);
  private static final Duration LATENCY = Duration.ofMillis(15);
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
  private static final int ZONES = 3;

  private final SplittableRandom random;
  private final List<Host> hosts = new ArrayList<>();
  private final List<TenantLoad> tenants = new ArrayList<>();
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private final Set<Integer> cutOff = new HashSet<>();
  private final Scheme scheme;
  private final double lossRate;
  private int coordinator;
  private long nowNanos;
  private long tasksAdded;

  /** Who decides about requests; all but the first are alternatives that were weighed. */
  enum Scheme {
    /** Shares leased by demand. */
    LEASED_SHARES,
    /** Each tenant has a home host, which all hosts ask; they have a fixed reserve without it. */
    HOME_HOST,
    /** The coordinator has one bucket for each tenant and refills small local reserves. */
    ONE_BUCKET
  }

  private record Task(long nanos, long order, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      return nanos == other.nanos
          ? Long.compare(order, other.order)
          : Long.compare(nanos, other.nanos);
    }
  }

  private static final class Host {
    private final int number;
    private QuotaLimiter limiter;
    private QuotaShareController controller;
    private ShareReport<TenantName> pending = ShareReport.empty();
    private int incarnation;
    private boolean isAlive = true;
    private boolean isSuspended;

    Host(int number) {
      this.number = number;
      restart();
    }

    void restart() {
      incarnation++;
      isAlive = true;
      pending = ShareReport.empty();
      limiter = new QuotaLimiter(number);
      controller = new QuotaShareController(1_000L * number + incarnation);
    }

    boolean runs() {
      return isAlive && !isSuspended;
    }
  }

  QuotaSite(Scheme scheme, int hostCount, double lossRate, long seed) {
    this.scheme = scheme;
    this.random = new SplittableRandom(seed);
    this.lossRate = lossRate;
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new Host(i));
      long firstReport = random.nextLong(REPORT_INTERVAL.toNanos());
      int number = i;
      at(firstReport, () -> reportPeriodically(number));
    }
    hosts.get(0).controller.start(0);
  }

  /** Adds a tenant whose callers reach the given number of hosts, with skewed parts of them. */
  TenantLoad addTenant(String name, Quota quota, int entryHosts, ToDoubleFunction<Double> load) {
    var tenant = new TenantLoad(name, quota, load);
    double[] weights = new double[hosts.size()];
    for (int i = 0; i < entryHosts; i++) {
      weights[random.nextInt(hosts.size())] += 1.0 / (1 + i);
    }
    double sum = Arrays.stream(weights).sum();
    tenant.weights = Arrays.stream(weights).map(w -> w / sum).toArray();
    tenant.reserves = new double[hosts.size()];
    tenant.filledNanos = new long[hosts.size() + 1];
    tenants.add(tenant);
    return tenant;
  }

  /** Runs an action at a time of the replay. */
  void at(double seconds, Runnable action) {
    at((long) (seconds * NANOS_PER_SECOND), action);
  }

  private void at(long nanos, Runnable action) {
    tasks.add(new Task(nanos, tasksAdded++, action));
  }

  void kill(int host) {
    hosts.get(host).isAlive = false;
  }

  void restart(int host) {
    hosts.get(host).restart();
  }

  void suspend(int host) {
    hosts.get(host).isSuspended = true;
  }

  void resume(int host) {
    hosts.get(host).isSuspended = false;
  }

  void setCoordinator(int host) {
    hosts.get(coordinator).controller.stop();
    coordinator = host;
    hosts.get(host).controller.start(nowNanos);
  }

  /** Cuts all hosts of a zone off from those of the others. */
  void cutOffZone(int zone) {
    hosts.stream().filter(h -> h.number % ZONES == zone).forEach(h -> cutOff.add(h.number));
  }

  void healPartition() {
    cutOff.clear();
  }

  void run(double seconds) {
    long endNanos = (long) (seconds * NANOS_PER_SECOND);
    for (; nowNanos < endNanos; nowNanos += STEP.toNanos()) {
      while (!tasks.isEmpty() && tasks.peek().nanos() <= nowNanos) {
        tasks.poll().action().run();
      }
      tenants.forEach(this::requests);
    }
  }

  private void requests(TenantLoad tenant) {
    double seconds = nowNanos / NANOS_PER_SECOND;
    double expected = tenant.load.applyAsDouble(seconds) * STEP.toNanos() / NANOS_PER_SECOND;
    double next = -Math.log(1 - random.nextDouble());
    for (double sum = next; sum < expected; sum += -Math.log(1 - random.nextDouble())) {
      request(tenant, entryHost(tenant));
    }
  }

  private void request(TenantLoad tenant, Optional<Host> entry) {
    if (entry.isEmpty()) {
      return;
    }
    switch (scheme) {
      case LEASED_SHARES -> requestWithLease(tenant, entry.get());
      case HOME_HOST -> tenant.record(isGrantedAtHome(tenant, entry.get()), nowNanos);
      case ONE_BUCKET -> tenant.record(isGrantedByReserve(tenant, entry.get()), nowNanos);
    }
  }

  private void requestWithLease(TenantLoad tenant, Host entry) {
    switch (entry.limiter.acquire(tenant.tenant(), nowNanos)) {
      case QuotaDecision.Granted granted -> tenant.record(true, nowNanos);
      case QuotaDecision.Pending pending ->
          awaitShare(tenant, entry, nowNanos + pending.maxWait().toNanos());
      case QuotaDecision.Exceeded exceeded -> tenant.record(false, nowNanos);
    }
  }

  /** Lets a request wait for a share; it is refused at the end of the wait. */
  private void awaitShare(TenantLoad tenant, Host entry, long endNanos) {
    boolean granted =
        entry.limiter.acquireAgain(tenant.tenant(), nowNanos) instanceof QuotaDecision.Granted;
    if (granted || nowNanos >= endNanos) {
      tenant.record(granted, nowNanos);
      return;
    }
    at(nowNanos + STEP.toNanos(), () -> awaitShare(tenant, entry, endNanos));
  }

  private boolean isGrantedByReserve(TenantLoad tenant, Host entry) {
    boolean isGranted = tenant.reserves[entry.number] >= 1;
    tenant.reserves[entry.number] -= isGranted ? 1 : 0;
    return isGranted;
  }

  private boolean isGrantedAtHome(TenantLoad tenant, Host entry) {
    Host home = hosts.get(Math.floorMod(tenant.name.hashCode(), hosts.size()));
    boolean isReached =
        home.runs() && cutOff.contains(home.number) == cutOff.contains(entry.number);
    double[] levels = isReached ? tenant.whole : tenant.reserves;
    int index = isReached ? 0 : entry.number;
    double part = isReached ? 1 : 0.5 / hosts.size();
    tenant.fill(levels, index, part, nowNanos);
    boolean isGranted = levels[index] >= 1;
    levels[index] -= isGranted ? 1 : 0;
    return isGranted;
  }

  /** Refills the reserve of a host from the one bucket of each tenant. */
  private void refillReserves(Host host) {
    for (TenantLoad tenant : tenants) {
      tenant.fill(tenant.whole, 0, 1, nowNanos);
      double wanted = 1 + tenant.weights[host.number] * tenant.quota.requestsPerSecond() / 2;
      double added = Math.max(0, Math.min(wanted - tenant.reserves[host.number], tenant.whole[0]));
      tenant.whole[0] -= added;
      tenant.reserves[host.number] += added;
    }
  }

  /** Callers leave hosts that do not run. */
  private Optional<Host> entryHost(TenantLoad tenant) {
    double sum = 0;
    for (Host host : hosts) {
      sum += host.runs() ? tenant.weights[host.number] : 0;
    }
    double drawn = random.nextDouble() * sum;
    for (Host host : hosts) {
      drawn -= host.runs() ? tenant.weights[host.number] : 0;
      if (drawn < 0 && host.runs()) {
        return Optional.of(host);
      }
    }
    return Optional.empty();
  }

  private void reportPeriodically(int number) {
    at(nowNanos + REPORT_INTERVAL.toNanos(), () -> reportPeriodically(number));
    Host host = hosts.get(number);
    if (!host.runs()) {
      return;
    }
    if (scheme == Scheme.ONE_BUCKET) {
      deliver(coordinator, host.number, () -> refillReserves(host));
      return;
    }
    host.limiter.setHosts(hosts.size());
    host.pending = host.pending.followedBy(host.limiter.takeReport(nowNanos));
    ShareReport<TenantName> report = host.pending;
    long sentNanos = nowNanos;
    int incarnation = host.incarnation;
    deliver(host.number, coordinator, () -> received(host, incarnation, report, sentNanos));
  }

  private void received(
      Host from, int incarnation, ShareReport<TenantName> report, long sentNanos) {
    Host receiver = hosts.get(coordinator);
    var grant = receiver.controller.reportReceived(HostId.of("h" + from.number), report, nowNanos);
    deliver(
        receiver.number,
        from.number,
        () -> {
          if (from.incarnation == incarnation) {
            from.pending = ShareReport.empty();
            from.limiter.apply(new QuotaShares(grant, sentNanos), nowNanos);
          }
        });
  }

  private void deliver(int from, int to, Runnable action) {
    boolean isLost =
        from != to
            && (cutOff.contains(from) != cutOff.contains(to) || random.nextDouble() < lossRate);
    if (!isLost) {
      at(
          nowNanos + (from == to ? 0 : LATENCY.toNanos()),
          () -> {
            if (hosts.get(to).runs()) {
              action.run();
            }
          });
    }
  }

  /** The load of a tenant and what became of its requests. */
  static final class TenantLoad {
    private final TenantName name;
    private final ToDoubleFunction<Double> load;
    private final List<Long> granted = new ArrayList<>();
    private final double[] whole = new double[1];
    private double[] weights;
    private double[] reserves;
    private long[] filledNanos;
    private Quota quota;
    private double idealLevel;
    private long idealNanos;
    private int offeredBelowQuota;
    private int refusedBelowQuota;

    TenantLoad(String name, Quota quota, ToDoubleFunction<Double> load) {
      this.name = TenantName.of(name);
      this.quota = quota;
      this.load = load;
      this.idealLevel = quota.burst();
    }

    Tenant tenant() {
      return new Tenant(name, OptionalInt.empty(), Optional.of(quota));
    }

    void setQuota(Quota next) {
      quota = next;
    }

    private void record(boolean isGranted, long nowNanos) {
      double seconds = (nowNanos - idealNanos) / NANOS_PER_SECOND;
      idealLevel = Math.min(quota.burst(), idealLevel + seconds * quota.requestsPerSecond());
      idealNanos = nowNanos;
      if (isGranted) {
        granted.add(nowNanos);
      }
      if (idealLevel >= 1) {
        idealLevel--;
        offeredBelowQuota++;
        refusedBelowQuota += isGranted ? 0 : 1;
      }
    }

    /** Fills a bucket by its part of the quota. */
    void fill(double[] levels, int index, double part, long nowNanos) {
      boolean isWhole = part == 1;
      int clock = isWhole ? filledNanos.length - 1 : index;
      double seconds = (nowNanos - filledNanos[clock]) / NANOS_PER_SECOND;
      filledNanos[clock] = nowNanos;
      double capacity = isWhole ? quota.burst() + 10 : Math.max(1, quota.burst() * part);
      levels[index] =
          Math.min(capacity, levels[index] + seconds * part * quota.requestsPerSecond());
    }

    int refusedBelowQuota() {
      return refusedBelowQuota;
    }

    int offeredBelowQuota() {
      return offeredBelowQuota;
    }

    /** Starts to count refusals. */
    void startCounting() {
      offeredBelowQuota = 0;
      refusedBelowQuota = 0;
    }

    /** Returns the most granted requests in a window that starts at the given time or later. */
    int mostInWindow(double fromSeconds) {
      int most = 0;
      int first = 0;
      for (int last = 0; last < granted.size(); last++) {
        while (granted.get(last) - granted.get(first) >= 5 * NANOS_PER_SECOND
            || (granted.get(first) < fromSeconds * NANOS_PER_SECOND && first < last)) {
          first++;
        }
        most = Math.max(most, last - first + 1);
      }
      return most;
    }

    /** Returns the most requests that the specification allows in a window. */
    double allowedInWindow() {
      return (quota.requestsPerSecond() * 5 + quota.burst()) * 1.1 + 20;
    }
  }
}
