package org.catkinlift.control.fake;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeMap;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlComponent;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.CutOffRule;
import org.catkinlift.model.GrantChecking;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.plans.OperatorReply;
import org.catkinlift.plans.OperatorRequest;
import org.catkinlift.timer.VirtualTimerService;

/** Connects daemons and the platform in virtual time; hosts are named like {@code suva-01}. */
public final class FakeSite {
  private static final Duration LATENCY = Duration.ofMillis(1);
  private static final Duration PLATFORM_LATENCY = Duration.ofMillis(10);
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(250);

  private final VirtualTimerService timers = new VirtualTimerService();
  private final FakePlatform platform = new FakePlatform();
  private final TreeMap<HostId, FakeDaemon> daemons = new TreeMap<>();
  private final TreeMap<CellId, HostId> coordinators = new TreeMap<>();
  private final TreeMap<CellId, Long> terms = new TreeMap<>();
  private final Set<String> partitionedZones = new HashSet<>();
  private final long seed;
  private long messages;

  public FakeSite(long seed) {
    this.seed = seed;
    timers.every(ControlComponent.TICK_INTERVAL, () -> running().forEach(FakeDaemon::tick));
    timers.every(HEARTBEAT_INTERVAL, this::sendHeartbeats);
  }

  private ImmutableList<FakeDaemon> running() {
    return ImmutableList.copyOf(daemons.values());
  }

  private void sendHeartbeats() {
    coordinators.forEach(
        (cell, coordinator) -> {
          if (daemons.containsKey(coordinator)) {
            daemons.get(coordinator).heartbeat(terms.get(cell));
          }
        });
  }

  public static HostDefinition host(String zone, int number) {
    return new HostDefinition(
        HostId.of("%s-%02d".formatted(zone, number)),
        ZoneName.of(zone),
        CellId.of(zone),
        NetworkAddress.of("127.0.0.1", 7000 + number));
  }

  public FakeDaemon start(HostDefinition host, HostDefinition... seeds) {
    var daemon = new FakeDaemon(this, host, ImmutableSet.copyOf(seeds), seed + daemons.size());
    daemons.put(host.id(), daemon);
    return daemon;
  }

  /** Starts daemons that all have the first one as their seed, and adds them to the host list. */
  public void startAll(int perZone, String... zones) {
    HostDefinition first = host(zones[0], 1);
    for (String zone : zones) {
      for (int i = 1; i <= perZone; i++) {
        start(host(zone, i), first);
      }
      makeCoordinator(host(zone, 1));
    }
    platform.hosts(Iterables.transform(running(), FakeDaemon::definition));
  }

  /** Makes a daemon the coordinator of its cell in the next term. */
  public void makeCoordinator(HostDefinition host) {
    coordinators.put(host.cell(), host.id());
    terms.merge(host.cell(), 1L, Long::sum);
  }

  public void crash(HostId host) {
    daemons.remove(host).stop();
  }

  /** Disconnects an availability zone from the others and from the platform, or reconnects it. */
  public void setPartitioned(String zone, boolean isPartitioned) {
    if (isPartitioned) {
      partitionedZones.add(zone);
    } else {
      partitionedZones.remove(zone);
    }
  }

  void send(HostId from, HostId to, PeerMessage message) {
    messages++;
    timers.after(LATENCY, () -> arrive(from, to, message));
  }

  private void arrive(HostId from, HostId to, PeerMessage message) {
    FakeDaemon receiver = daemons.get(to);
    if (receiver != null && isConnected(zoneOf(from), zoneOf(to))) {
      receiver.deliver(new ControlEvent.PeerMessageReceived(from, message));
    }
  }

  private static String zoneOf(HostId host) {
    return host.value().substring(0, host.value().lastIndexOf('-'));
  }

  private boolean isConnected(String a, String b) {
    return a.equals(b) || !(partitionedZones.contains(a) || partitionedZones.contains(b));
  }

  void callPlatform(FakeDaemon daemon, ControlAction.CallPlatform call) {
    timers.after(
        PLATFORM_LATENCY,
        () -> {
          boolean isPartitioned = partitionedZones.contains(zoneOf(daemon.id()));
          var reply = isPartitioned ? new Reply.NoAnswer() : platform.handle(call.request());
          daemon.deliver(new ControlEvent.PlatformReplied(call.call(), reply));
        });
  }

  public void run(Duration duration) {
    timers.advance(duration);
  }

  public FakeDaemon daemon(String name) {
    return daemons.get(HostId.of(name));
  }

  public ImmutableList<FakeDaemon> daemons() {
    return running();
  }

  /** Sends an operator's request to a daemon and waits for the reply. */
  public OperatorReply ask(String host, OperatorRequest request) {
    int before = daemon(host).replies().size();
    daemon(host).deliver(new ControlEvent.OperatorRequested(1, request));
    for (int i = 0; i < 100 && daemon(host).replies().size() == before; i++) {
      run(ControlComponent.TICK_INTERVAL);
    }
    return Iterables.getLast(daemon(host).replies());
  }

  public boolean allDaemonsHave(long version) {
    return running().stream().allMatch(d -> d.store().configuration().version() == version);
  }

  public FakePlatform platform() {
    return platform;
  }

  public long messages() {
    return messages;
  }

  public long nowNanos() {
    return timers.nowNanos();
  }

  /** A keyed service with two upstreams in each availability zone. */
  public static ServiceDefinition service(String name, int limit, String... zones) {
    var upstreams = ImmutableList.<UpstreamDefinition>builder();
    for (String zone : zones) {
      for (int i = 1; i <= 2; i++) {
        upstreams.add(
            new UpstreamDefinition(
                UpstreamId.of(name + "-" + zone + "-" + i),
                ZoneName.of(zone),
                CellId.of(zone),
                NetworkAddress.of("127.0.0.1", 8000 + i),
                limit,
                10));
      }
    }
    return new ServiceDefinition(
        ServiceName.of(name),
        new ServiceKind.Keyed(64, CutOffRule.hold(), GrantChecking.checked()),
        ImmutableList.copyOf(zones).stream()
            .map(ZoneName::of)
            .collect(ImmutableSet.toImmutableSet()),
        upstreams.build(),
        0);
  }

  public static Configuration configuration(long version, String... drained) {
    return Configuration.builder()
        .version(version)
        .drainedZones(
            ImmutableList.copyOf(drained).stream()
                .map(ZoneName::of)
                .collect(ImmutableSet.toImmutableSet()))
        .build();
  }
}
