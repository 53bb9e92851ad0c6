package org.catkinlift.bench.jmh;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.catkinlift.control.RowValue;
import org.catkinlift.daemon.Daemon;
import org.catkinlift.daemon.platform.RowCodec;
import org.catkinlift.daemon.settings.DaemonSettings;
import org.catkinlift.daemon.settings.LoggingSettings;
import org.catkinlift.daemon.settings.OperatorToken;
import org.catkinlift.events.EventCode.Severity;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.standin.FreePorts;
import org.catkinlift.standin.load.Targets;
import org.catkinlift.standin.platform.HostList;
import org.catkinlift.standin.platform.PlatformStandin;
import org.catkinlift.standin.upstream.UpstreamSettings;
import org.catkinlift.standin.upstream.UpstreamStandin;

/**
 * Runs one daemon, one upstream of a keyed service and a platform stand-in on the loopback address.
 */
final class SingleDaemonDeployment {
  private static final String LOOPBACK_ADDRESS = "127.0.0.1";
  private static final ServiceName SERVICE = ServiceName.of("order-desk");
  private static final UpstreamId UPSTREAM = UpstreamId.of("desk-1");
  private static final ZoneName ZONE = ZoneName.of("suva");
  private static final CellId CELL = CellId.of("suva");
  private static final HostId HOST = HostId.of("suva-1");
  private static final int CONCURRENCY_LIMIT = 64;
  private static final long TIMEOUT_SECONDS = 60;

  private final Vertx vertx = Vertx.vertx();
  private final UpstreamStandin upstream;
  private final Daemon daemon;

  private SingleDaemonDeployment() throws Exception {
    PlatformStandin platform = await(PlatformStandin.start(vertx, LOOPBACK_ADDRESS, 0));
    upstream = await(UpstreamStandin.start(vertx, upstreamSettings(), LOOPBACK_ADDRESS, 0));
    platform.putRow(
        Configuration.NAME,
        RowCodec.encode(new RowValue.ConfigurationRow(configuration(upstream.address())))
            .toString());
    DaemonSettings settings = daemonSettings(platform.address());
    HostDefinition self = settings.self();
    platform.setHosts(new HostList(ImmutableList.of(self), ImmutableList.of()));
    daemon = await(Daemon.start(vertx, settings));
  }

  /**
   * Starts the platform, the upstream and the daemon.
   *
   * @return the deployment, whose daemon may not be ready for requests yet
   * @throws Exception if a component does not start
   */
  static SingleDaemonDeployment start() throws Exception {
    return new SingleDaemonDeployment();
  }

  Vertx vertx() {
    return vertx;
  }

  /** Returns targets that send requests through the daemon. */
  Targets proxiedTargets() {
    return new Targets.Router(ImmutableList.of(daemon.callerAddress()), SERVICE, SERVICE);
  }

  /** Returns targets that send requests directly to the upstream. */
  Targets directTargets() {
    var addresses = ImmutableList.of(upstream.directAddress());
    return new Targets.Direct(addresses, addresses);
  }

  /** Stops the daemon, the upstream and the platform. */
  void stop() throws Exception {
    await(daemon.stop());
    await(vertx.close());
  }

  private static UpstreamSettings upstreamSettings() {
    return UpstreamSettings.builder()
        .id(UPSTREAM)
        .executionSlots(CONCURRENCY_LIMIT)
        .connectionLimit(2 * CONCURRENCY_LIMIT)
        .executionTime(Duration.ZERO)
        .build();
  }

  private static Configuration configuration(NetworkAddress address) {
    var definition =
        new UpstreamDefinition(UPSTREAM, ZONE, CELL, address, CONCURRENCY_LIMIT, CONCURRENCY_LIMIT);
    var service =
        new ServiceDefinition(
            SERVICE, ServiceKind.keyed(), ImmutableSet.of(ZONE), ImmutableList.of(definition), 0);
    return Configuration.builder().version(1).services(ImmutableMap.of(SERVICE, service)).build();
  }

  private static DaemonSettings daemonSettings(NetworkAddress platform) {
    return DaemonSettings.builder()
        .host(HOST)
        .zone(ZONE)
        .cell(CELL)
        .zones(ImmutableSet.of(ZONE))
        .callerAddress(FreePorts.findOne(LOOPBACK_ADDRESS))
        .peerAddress(FreePorts.findOne(LOOPBACK_ADDRESS))
        .operatorAddress(FreePorts.findOne(LOOPBACK_ADDRESS))
        .operatorToken(OperatorToken.of("a-token-for-measurements"))
        .platformAddress(platform)
        .peers(ImmutableList.of())
        .logging(new LoggingSettings(Severity.WARNING, 0))
        .build();
  }

  /** Blocks until the future completes or the timeout expires. */
  static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }
}
