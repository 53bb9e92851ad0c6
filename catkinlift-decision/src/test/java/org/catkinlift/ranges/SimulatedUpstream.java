package org.catkinlift.ranges;

import java.time.Duration;
import java.util.Optional;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.upstreams.UpstreamRecord;

/** The upstream at one address: one process after another, under the same or another id. */
final class SimulatedUpstream {
  private static final int CONCURRENCY_LIMIT = 4;

  /** One of this many starts reads a clock that was stepped back. */
  private static final int STARTS_PER_CLOCK_STEP = 5;

  private static final int MAX_CLOCK_STEP_MILLIS = 20_000;

  private final SimulationEnvironment environment;
  private final SimulatedDirectory directory;
  private final int index;
  private NetworkAddress address;
  private int starts;
  private int replacements;
  private UpstreamRecord record;
  private Optional<UpstreamProcess> process = Optional.empty();

  SimulatedUpstream(SimulationEnvironment environment, SimulatedDirectory directory, int index) {
    this.environment = environment;
    this.directory = directory;
    this.index = index;
    this.address = NetworkAddress.of("10.0.1." + (index + 1), 80);
    start();
  }

  NetworkAddress address() {
    return address;
  }

  /** Returns the process that is up, or empty while none is. */
  Optional<UpstreamProcess> process() {
    return process;
  }

  /** Returns whether a process is the one that is up. */
  boolean isRunning(UpstreamProcess candidate) {
    return process.filter(p -> p == candidate).isPresent();
  }

  private void start() {
    var id = UpstreamId.of("u-" + index + "-" + replacements);
    record = newRecord(id);
    process = Optional.of(new UpstreamProcess(id, record.startedMillis(), environment.behavior()));
    environment.record(new SimulationEvent.ProcessStarted(record));
    starts++;
    directory.publish(record);
  }

  private UpstreamRecord newRecord(UpstreamId id) {
    boolean clockWasSteppedBack =
        starts > 0 && environment.random().nextInt(STARTS_PER_CLOCK_STEP) == 0;
    int stepMillis = clockWasSteppedBack ? environment.random().nextInt(MAX_CLOCK_STEP_MILLIS) : 0;
    return UpstreamRecord.builder()
        .id(id)
        .startedMillis(environment.wallMillis() - stepMillis)
        .service(ServiceName.of("desk"))
        .address(address)
        .zone(ZoneName.of("z"))
        .concurrencyLimit(CONCURRENCY_LIMIT)
        .build();
  }

  /** Ends the process; one with the same id starts at the same address. */
  void restart(Duration downtime) {
    end();
    environment.after(downtime, this::startIfDown);
  }

  /** Ends the process; one with another id starts at the same address. */
  void replace(Duration downtime) {
    end();
    replacements++;
    environment.after(downtime, this::startIfDown);
  }

  /** Ends the process; one with the same id starts at another address, which may have been used. */
  void relocate(Duration downtime) {
    end();
    environment.after(
        downtime,
        () -> {
          if (process.isEmpty()) {
            address = directory.exchangeAddress(address);
            start();
          }
        });
  }

  private void end() {
    if (process.isPresent()) {
      process.get().end();
      process = Optional.empty();
      environment.record(new SimulationEvent.ProcessEnded(record));
      directory.removeAfterSilence(record);
    }
  }

  private void startIfDown() {
    if (process.isEmpty()) {
      start();
    }
  }

  /** Removes the record for some time, although the process is up. */
  void unlist(Duration length) {
    if (process.isEmpty()) {
      return;
    }
    UpstreamRecord unlisted = record;
    directory.remove(unlisted);
    environment.after(
        length,
        () -> {
          if (process.isPresent() && record.equals(unlisted)) {
            directory.publish(unlisted);
          }
        });
  }

  /** Announces that the process leaves, ends it, and replaces it by one with another id. */
  void retire(Duration drainTime, Duration downtime) {
    if (process.isEmpty()) {
      return;
    }
    UpstreamProcess leaving = process.get();
    record = draining(record);
    directory.publish(record);
    environment.after(
        drainTime,
        () -> {
          if (isRunning(leaving)) {
            replace(downtime);
          }
        });
  }

  private static UpstreamRecord draining(UpstreamRecord upstream) {
    return UpstreamRecord.builder()
        .id(upstream.id())
        .startedMillis(upstream.startedMillis())
        .service(upstream.service())
        .address(upstream.address())
        .zone(upstream.zone())
        .concurrencyLimit(upstream.concurrencyLimit())
        .draining(true)
        .build();
  }
}
