package org.catkinlift.daemon;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.daemon.control.ControlPorts;
import org.catkinlift.daemon.logging.EventLogger;
import org.catkinlift.daemon.metrics.DaemonMetrics;
import org.catkinlift.daemon.metrics.DaemonMetrics.PlatformResult;
import org.catkinlift.daemon.platform.Platform;
import org.catkinlift.daemon.upstream.UpstreamControlClient;
import org.catkinlift.daemon.upstream.UpstreamWorkerShards;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.protocol.PeerTransport;

/**
 * Executes the control thread's network calls, and writes its log events and metrics.
 *
 * @param transport sends messages to other daemons
 * @param platform calls the platform
 * @param upstreams calls upstreams
 * @param workers are notified of the instances of upstreams
 * @param logger writes log lines
 * @param metrics counts platform calls and exposes the control state
 */
record DaemonPorts(
    PeerTransport transport,
    Platform platform,
    UpstreamControlClient upstreams,
    UpstreamWorkerShards workers,
    EventLogger logger,
    DaemonMetrics metrics)
    implements ControlPorts {

  @Override
  public void send(HostDefinition to, PeerMessage message) {
    transport.send(to, message);
  }

  @Override
  public Future<PlatformRequest.Reply> call(PlatformRequest request) {
    return platform
        .call(request)
        .onSuccess(reply -> metrics.platformCalled(nameOf(request), resultOf(reply)));
  }

  @Override
  public Future<UpstreamRequest.Reply> call(NetworkAddress address, UpstreamRequest request) {
    return upstreams.call(address, request);
  }

  @Override
  public void instanceSeen(UpstreamId upstream, String instance) {
    workers.instanceSeen(upstream, instance);
  }

  @Override
  public void updateStateMetrics(
      boolean hasAuthority, long configurationVersion, Optional<Duration> configurationAge) {
    metrics.setAuthority(hasAuthority);
    metrics.setConfiguration(configurationVersion, configurationAge);
  }

  @Override
  public void log(DecisionEvent event) {
    logger.log(event);
  }

  private static String nameOf(PlatformRequest request) {
    return switch (request) {
      case PlatformRequest.ReadRows r -> "read_rows";
      case PlatformRequest.Transact t -> "transact";
      case PlatformRequest.ReadHosts h -> "read_hosts";
    };
  }

  private static PlatformResult resultOf(PlatformRequest.Reply reply) {
    return switch (reply) {
      case PlatformRequest.Reply.Rows r -> PlatformResult.OK;
      case PlatformRequest.Reply.Applied a -> PlatformResult.OK;
      case PlatformRequest.Reply.Hosts h -> PlatformResult.OK;
      case PlatformRequest.Reply.Conflict c -> PlatformResult.CONFLICT;
      case PlatformRequest.Reply.NoAnswer n -> PlatformResult.FAILED;
    };
  }
}
