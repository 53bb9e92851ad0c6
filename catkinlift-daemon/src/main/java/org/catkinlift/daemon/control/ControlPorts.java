package org.catkinlift.daemon.control;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.UpstreamId;

/** Carries out the actions of control decisions. Called on the control thread. */
public interface ControlPorts {

  /**
   * Sends a message to another daemon.
   *
   * @param to the receiver
   * @param message the message
   */
  void send(HostDefinition to, PeerMessage message);

  /**
   * Calls the platform.
   *
   * @param request the request
   * @return the reply; completed on any thread
   */
  Future<PlatformRequest.Reply> call(PlatformRequest request);

  /**
   * Calls an upstream.
   *
   * @param address where the upstream listens
   * @param request the request
   * @return the reply; completed on any thread
   */
  Future<UpstreamRequest.Reply> call(NetworkAddress address, UpstreamRequest request);

  /**
   * Takes the instance that an upstream named in a reply.
   *
   * @param upstream the upstream
   * @param instance the run of its process
   */
  void instanceSeen(UpstreamId upstream, String instance);

  /**
   * Takes what the metrics show of the control state; called with each tick.
   *
   * @param hasAuthority whether this daemon has the authority of its cell
   * @param configurationVersion the version of the configuration in force
   * @param configurationAge the time since it was last known to be the newest, if it ever was
   */
  void updateStateMetrics(
      boolean hasAuthority, long configurationVersion, Optional<Duration> configurationAge);

  /**
   * Writes a log line.
   *
   * @param event the event
   */
  void log(DecisionEvent event);
}
