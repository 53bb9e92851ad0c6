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

/** Executes the external effects of control actions. Called on the control thread. */
public interface ControlPorts {

  /**
   * Sends a message to another daemon.
   *
   * @param to the recipient
   * @param message the message
   */
  void send(HostDefinition to, PeerMessage message);

  /**
   * Calls the platform.
   *
   * @param request the request
   * @return the reply; may complete on any thread
   */
  Future<PlatformRequest.Reply> call(PlatformRequest request);

  /**
   * Calls an upstream.
   *
   * @param address the upstream's address
   * @param request the request
   * @return the reply; may complete on any thread
   */
  Future<UpstreamRequest.Reply> call(NetworkAddress address, UpstreamRequest request);

  /**
   * Notifies of the instance that an upstream stated in a reply.
   *
   * @param upstream the upstream
   * @param instance identifies the current run of the upstream's process
   */
  void instanceSeen(UpstreamId upstream, String instance);

  /**
   * Updates the metrics of the control state; called with each tick.
   *
   * @param hasAuthority whether this daemon has the authority of its cell
   * @param configurationVersion the version of the configuration in force
   * @param configurationAge the time since that configuration was last known to be the newest;
   *     empty if it never was
   */
  void updateStateMetrics(
      boolean hasAuthority, long configurationVersion, Optional<Duration> configurationAge);

  /**
   * Logs an event.
   *
   * @param event the event
   */
  void log(DecisionEvent event);
}
