package org.catkinlift.bench.control;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.catkinlift.control.ControlAction;
import org.catkinlift.control.ControlComponent;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.PlatformRequest.Row;
import org.catkinlift.control.RowValue;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.timer.VirtualTimerService;

/**
 * Simulates, in virtual time, the network between all daemons of one cell and the coordinators of
 * the other cells, and the platform that stores their configuration.
 *
 * <p>The other daemons of the other cells appear only in the host list and are not simulated: a
 * message to one of them is counted as sent and then dropped.
 */
final class SimulatedNetwork {
  private static final Duration LATENCY = Duration.ofMillis(1);
  private static final Duration PLATFORM_LATENCY = Duration.ofMillis(10);
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(250);

  private final VirtualTimerService timers = new VirtualTimerService();
  private final Map<HostId, MeasuredDaemon> daemons = new LinkedHashMap<>();
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private ImmutableList<HostDefinition> hosts = ImmutableList.of();

  void setHosts(Collection<HostDefinition> listedHosts) {
    hosts = ImmutableList.copyOf(listedHosts);
  }

  MeasuredDaemon addDaemon(HostDefinition host, HostId coordinator) {
    var daemon = new MeasuredDaemon(this, host, coordinator);
    daemons.put(host.id(), daemon);
    return daemon;
  }

  /**
   * Starts the tick timers of all daemons, spread evenly over the tick interval because independent
   * processes do not tick at the same time.
   */
  void startTickTimers() {
    int index = 0;
    for (MeasuredDaemon daemon : daemons.values()) {
      long phase = ControlComponent.TICK_INTERVAL.toNanos() * index / daemons.size();
      index++;
      timers.after(
          Duration.ofNanos(phase),
          () -> timers.every(ControlComponent.TICK_INTERVAL, daemon::tick));
      if (daemon.isCoordinator()) {
        timers.every(HEARTBEAT_INTERVAL, daemon::sendHeartbeats);
      }
    }
  }

  void every(Duration interval, Runnable task) {
    timers.every(interval, task);
  }

  void advance(Duration duration) {
    timers.advance(duration);
  }

  long nowNanos() {
    return timers.nowNanos();
  }

  void send(HostId from, HostId to, PeerMessage message, int bytes) {
    MeasuredDaemon receiver = daemons.get(to);
    if (receiver != null) {
      timers.after(LATENCY, () -> receiver.receive(from, message, bytes));
    }
  }

  void callPlatform(MeasuredDaemon daemon, ControlAction.CallPlatform call) {
    timers.after(
        PLATFORM_LATENCY,
        () -> daemon.handle(new ControlEvent.PlatformReplied(call.call(), reply(call.request()))));
  }

  private Reply reply(PlatformRequest request) {
    return switch (request) {
      case PlatformRequest.ReadRows r -> new Reply.Rows(readRows(r.prefix()));
      case PlatformRequest.ReadHosts r -> new Reply.Hosts(hosts, ImmutableList.of());
      case PlatformRequest.Transact t -> new Reply.NoAnswer();
    };
  }

  private ImmutableList<Row> readRows(String prefix) {
    return rows.values().stream()
        .filter(r -> r.name().startsWith(prefix))
        .collect(toImmutableList());
  }

  void writeConfiguration(Configuration configuration) {
    rows.put(
        Configuration.NAME,
        new Row(
            Configuration.NAME,
            configuration.version(),
            "bench",
            new RowValue.ConfigurationRow(configuration)));
  }

  ImmutableSet<HostId> cellPeers(HostDefinition host) {
    return daemons.values().stream()
        .map(MeasuredDaemon::definition)
        .filter(h -> h.cell().equals(host.cell()) && !h.id().equals(host.id()))
        .map(HostDefinition::id)
        .collect(ImmutableSet.toImmutableSet());
  }

  ImmutableList<MeasuredDaemon> daemons() {
    return ImmutableList.copyOf(daemons.values());
  }
}
