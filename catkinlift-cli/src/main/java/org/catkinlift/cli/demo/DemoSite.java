package org.catkinlift.cli.demo;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.Function;
import org.catkinlift.control.RowValue;
import org.catkinlift.daemon.Daemon;
import org.catkinlift.daemon.platform.RowCodec;
import org.catkinlift.daemon.settings.DaemonSettings;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.standin.load.Targets;
import org.catkinlift.standin.platform.HostList;
import org.catkinlift.standin.platform.PlatformStandin;
import org.catkinlift.standin.upstream.UpstreamActivity;
import org.catkinlift.standin.upstream.UpstreamStandin;

/**
 * A running demo site.
 *
 * @param platform the platform stand-in
 * @param orderDesk the upstreams of the keyed service
 * @param proofFiles the upstreams of the shared service
 * @param daemons the daemons
 */
record DemoSite(
    PlatformStandin platform,
    ImmutableList<UpstreamStandin> orderDesk,
    ImmutableList<UpstreamStandin> proofFiles,
    ImmutableList<Daemon> daemons) {

  /**
   * Starts the platform stand-in and the upstreams, writes the initial configuration and starts the
   * daemons.
   *
   * @param vertx the instance that runs all parts
   * @return the site when all daemons listen; they may not serve requests yet
   */
  static Future<DemoSite> start(Vertx vertx) {
    return PlatformStandin.start(vertx, DemoLayout.IP, 0)
        .compose(
            platform ->
                startUpstreams(vertx, DemoLayout.orderDeskUpstreams())
                    .compose(
                        desk ->
                            startUpstreams(vertx, DemoLayout.proofFilesUpstreams())
                                .compose(files -> startDaemons(vertx, platform, desk, files))));
  }

  /** Returns the addresses at which the daemons accept callers. */
  ImmutableList<NetworkAddress> callerAddresses() {
    return daemons.stream().map(Daemon::callerAddress).collect(toImmutableList());
  }

  /** Returns the targets for load through the daemons. */
  Targets routedTargets() {
    return new Targets.Router(callerAddresses(), DemoLayout.ORDER_DESK, DemoLayout.PROOF_FILES);
  }

  /** Returns the targets for load sent directly to the upstreams. */
  Targets directTargets() {
    return new Targets.Direct(directAddresses(orderDesk), directAddresses(proofFiles));
  }

  /** Returns the recorded activity of all upstreams. */
  Future<ImmutableList<UpstreamActivity>> upstreamActivities() {
    return joinAll(upstreams(), UpstreamStandin::activity);
  }

  /** Shuts the daemons down gracefully. */
  Future<Void> stopDaemons() {
    return Future.join(daemons.stream().map(Daemon::stop).toList()).mapEmpty();
  }

  /** Stops the upstreams and the platform stand-in. */
  Future<Void> stopStandins() {
    return Future.join(upstreams().stream().map(UpstreamStandin::stop).toList())
        .eventually(platform::stop)
        .mapEmpty();
  }

  private ImmutableList<UpstreamStandin> upstreams() {
    return ImmutableList.<UpstreamStandin>builder().addAll(orderDesk).addAll(proofFiles).build();
  }

  private static Future<ImmutableList<UpstreamStandin>> startUpstreams(
      Vertx vertx, ImmutableList<DemoLayout.PlacedUpstream> upstreams) {
    return joinAll(upstreams, u -> UpstreamStandin.start(vertx, u.settings(), DemoLayout.IP, 0));
  }

  private static Future<DemoSite> startDaemons(
      Vertx vertx,
      PlatformStandin platform,
      ImmutableList<UpstreamStandin> desk,
      ImmutableList<UpstreamStandin> files) {
    Configuration configuration =
        DemoLayout.configuration(
            definitions(DemoLayout.orderDeskUpstreams(), desk),
            definitions(DemoLayout.proofFilesUpstreams(), files));
    platform.putRow(
        Configuration.NAME,
        RowCodec.encode(new RowValue.ConfigurationRow(configuration)).toString());
    ImmutableList<DaemonSettings> settings = DemoLayout.daemons(platform.address());
    platform.setHosts(
        new HostList(
            settings.stream().map(DaemonSettings::self).collect(toImmutableList()),
            ImmutableList.of()));
    return joinAll(settings, s -> Daemon.start(vertx, s))
        .map(daemons -> new DemoSite(platform, desk, files, daemons));
  }

  private static ImmutableList<UpstreamDefinition> definitions(
      ImmutableList<DemoLayout.PlacedUpstream> placed, ImmutableList<UpstreamStandin> running) {
    var definitions = ImmutableList.<UpstreamDefinition>builder();
    for (int i = 0; i < placed.size(); i++) {
      definitions.add(DemoLayout.definition(placed.get(i), running.get(i).address()));
    }
    return definitions.build();
  }

  private static ImmutableList<NetworkAddress> directAddresses(
      ImmutableList<UpstreamStandin> upstreams) {
    return upstreams.stream().map(UpstreamStandin::directAddress).collect(toImmutableList());
  }

  private static <S, T> Future<ImmutableList<T>> joinAll(
      ImmutableList<S> sources, Function<S, Future<T>> operation) {
    ImmutableList<Future<T>> futures = sources.stream().map(operation).collect(toImmutableList());
    return Future.join(futures)
        .map(all -> futures.stream().map(Future::result).collect(toImmutableList()));
  }
}
