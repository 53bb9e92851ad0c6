package org.catkinlift.bench.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Predicate;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.DispatcherMap;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;

/**
 * Measures how the control traffic and the processing time of membership, configuration
 * dissemination and plans grow with the number of cells and of daemons per cell.
 *
 * <p>Message sizes are those of the encoded frames. Processing time is measured in wall-clock time,
 * so it varies between runs and is not checked against a limit. Heartbeats carry no leases,
 * assignment versions or loads, because the ownership components, which add them, are not part of
 * the simulation.
 */
public final class ControlSlopes {
  private static final Duration WARM_UP = Duration.ofSeconds(20);
  private static final Duration MEASUREMENT_DURATION = Duration.ofSeconds(60);

  /** Corresponds to the 81,000 configuration changes per day of the design size. */
  private static final Duration CHANGE_INTERVAL = Duration.ofMillis(1_067);

  private static final ImmutableList<Size> SIZES =
      ImmutableList.of(
          new Size(3, 3),
          new Size(12, 4),
          new Size(12, 8),
          new Size(12, 16),
          new Size(12, 32),
          new Size(50, 32),
          new Size(150, 32),
          new Size(594, 32));

  private record Size(int cells, int daemonsPerCell) {}

  private final Size size;
  private final SimulatedNetwork network = new SimulatedNetwork();
  private long version;

  private ControlSlopes(Size size) {
    this.size = size;
  }

  /**
   * Runs the simulation at one size or at all predefined sizes, and prints JSON lines with the
   * daemon that sends the most bytes in each role.
   *
   * @param args the number of cells and the number of daemons per cell; all predefined sizes if
   *     absent
   */
  public static void main(String[] args) {
    if (args.length == 2) {
      var size = new Size(Integer.parseInt(args[0]), Integer.parseInt(args[1]));
      new ControlSlopes(size).run();
      return;
    }
    SIZES.forEach(s -> new ControlSlopes(s).run());
  }

  private void run() {
    var hosts = ImmutableList.<HostDefinition>builder();
    for (int cell = 0; cell < size.cells(); cell++) {
      for (int index = 0; index < size.daemonsPerCell(); index++) {
        hosts.add(host(cell, index));
      }
    }
    network.setHosts(hosts.build());
    for (int index = 0; index < size.daemonsPerCell(); index++) {
      network.addDaemon(host(0, index), host(0, 0).id());
    }
    for (int cell = 1; cell < size.cells(); cell++) {
      network.addDaemon(host(cell, 0), host(cell, 0).id());
    }
    writeNewConfiguration();
    network.startTickTimers();
    network.every(CHANGE_INTERVAL, this::writeNewConfiguration);
    for (MeasuredDaemon daemon : network.daemons()) {
      storeDispatcherMap(daemon);
    }
    network.advance(WARM_UP);
    network.daemons().forEach(MeasuredDaemon::resetMeasurements);
    network.advance(MEASUREMENT_DURATION);
    report("coordinator", d -> d.isCoordinator());
    report("member", d -> !d.isCoordinator());
  }

  private static HostDefinition host(int cell, int index) {
    return new HostDefinition(
        HostId.of("host-%03d-%02d".formatted(cell, index)),
        ZoneName.of("zone-" + cell % 12),
        CellId.of("cell-%03d".formatted(cell)),
        NetworkAddress.of("10.%d.%d.%d".formatted(cell / 250, cell % 250, index + 1), 7000));
  }

  private void writeNewConfiguration() {
    version++;
    network.writeConfiguration(Configuration.builder().version(version).build());
  }

  /**
   * Stores the dispatcher map of the daemon's cell if the daemon is its coordinator, so that
   * digests have one entry per cell besides the configuration, which is their usual length.
   */
  private static void storeDispatcherMap(MeasuredDaemon daemon) {
    if (daemon.isCoordinator()) {
      daemon
          .store()
          .offer(new DispatcherMap(daemon.definition().cell(), Epoch.of(1, 1), ImmutableMap.of()));
    }
  }

  private void report(String role, Predicate<MeasuredDaemon> filter) {
    ImmutableList<MeasuredDaemon> daemons =
        network.daemons().stream()
            .filter(d -> d.definition().cell().equals(host(0, 0).cell()))
            .filter(filter)
            .collect(ImmutableList.toImmutableList());
    MeasuredDaemon busiest = daemons.get(0);
    for (MeasuredDaemon daemon : daemons) {
      busiest = daemon.sent().bytes() > busiest.sent().bytes() ? daemon : busiest;
    }
    long seconds = MEASUREMENT_DURATION.toSeconds();
    System.out.println(
        String.format(
            Locale.ROOT,
            "{\"cells\":%d,\"per_cell\":%d,\"role\":\"%s\",\"known\":%d,\"version_lag\":%d,"
                + "\"sent_bytes_per_s\":%d,\"received_bytes_per_s\":%d,"
                + "\"sent_messages_per_s\":%.1f,\"received_messages_per_s\":%.1f,"
                + "\"sent_with_headers_per_s\":%d,\"sent_by_kind\":%s,"
                + "\"platform_reads_per_s\":%.2f,\"micros_per_tick\":%.1f}",
            size.cells(),
            size.daemonsPerCell(),
            role,
            busiest.membership().known().size(),
            version - busiest.store().configuration().version(),
            busiest.sent().bytes() / seconds,
            busiest.received().bytes() / seconds,
            busiest.sent().messages() / (double) seconds,
            busiest.received().messages() / (double) seconds,
            (busiest.sent().bytes()
                    + TrafficCounter.PACKET_HEADER_BYTES * busiest.sent().messages())
                / seconds,
            busiest.sent().bytesPerSecondByType(seconds),
            busiest.platformReads() / (double) seconds,
            busiest.microsPerTick()));
  }
}
