package org.catkinlift.daemon;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.catkinlift.control.ControlEvent;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.control.PeerMessage.UpstreamLoad;
import org.catkinlift.daemon.control.ControlComponents;
import org.catkinlift.daemon.control.ControlLoop;
import org.catkinlift.daemon.http.CompletedRequest;
import org.catkinlift.daemon.http.TrafficLoop;
import org.catkinlift.daemon.logging.EventLogger;
import org.catkinlift.daemon.metrics.DaemonMetrics;
import org.catkinlift.daemon.operator.OperatorServer;
import org.catkinlift.daemon.platform.HttpPlatform;
import org.catkinlift.daemon.relay.RelayClient;
import org.catkinlift.daemon.relay.RelayServer;
import org.catkinlift.daemon.settings.DaemonSettings;
import org.catkinlift.daemon.upstream.UpstreamControlClient;
import org.catkinlift.daemon.upstream.UpstreamWorkerShards;
import org.catkinlift.events.DecisionEvent;
import org.catkinlift.events.EventCode;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.protocol.PeerLink;
import org.catkinlift.protocol.PeerListener;
import org.catkinlift.protocol.PeerTransport;
import org.catkinlift.protocol.RelayFrame;

/** A running daemon: the control thread, the traffic event loops and the servers. */
public final class Daemon {
  private static final int TRAFFIC_LOOPS = 2;

  /**
   * The load balancer needs several failed health checks before it stops sending new connections.
   */
  private static final Duration HEALTH_CHECK_DELAY = Duration.ofMillis(500);

  /**
   * Long enough for one more load report, which tells the next dispatchers that no request runs
   * here any more.
   */
  private static final Duration FINAL_REPORT_DELAY = Duration.ofMillis(300);

  private final Vertx vertx;
  private final DaemonSettings settings;
  private final EventLogger logger;
  private final MetricRegistry registry = new MetricRegistry();
  private final DaemonMetrics metrics = new DaemonMetrics(registry, System::nanoTime);
  private final RoutingStateHolder routingState;
  private final RelayClient relayClient = new RelayClient(metrics::requestRelayed);
  private final SplittableRandom random = new SplittableRandom();

  private ImmutableList<TrafficLoop> loops = ImmutableList.of();
  private ImmutableList<String> deployments = ImmutableList.of();
  private UpstreamWorkerShards workers;
  private RelayServer relayServer;
  private PeerTransport transport;
  private volatile ControlLoop control;
  private HttpPlatform platform;
  private UpstreamControlClient upstreamControl;
  private OperatorServer operatorServer;
  private volatile boolean stopping;

  private Daemon(Vertx vertx, DaemonSettings settings) {
    this.vertx = vertx;
    this.settings = settings;
    this.logger = new EventLogger(settings.logging());
    this.routingState = new RoutingStateHolder(settings.host());
  }

  /**
   * Starts a daemon.
   *
   * @param vertx provides the event loops
   * @param settings the settings
   * @return the daemon; completes once it listens on all its addresses
   */
  public static Future<Daemon> start(Vertx vertx, DaemonSettings settings) {
    var daemon = new Daemon(vertx, settings);
    return daemon
        .deployLoops()
        .compose(v -> daemon.openTransport())
        .compose(v -> daemon.startControl())
        .compose(v -> daemon.serveCallers())
        .compose(v -> daemon.serveOperators())
        .map(v -> daemon.logStarted())
        .recover(failure -> daemon.close().transform(closed -> Future.failedFuture(failure)));
  }

  private Future<Void> deployLoops() {
    var shared =
        new TrafficLoop.Shared(
            settings,
            routingState,
            relayClient,
            logger::log,
            new AtomicLong(),
            this::requestCompleted,
            this::upstreamLoadsReported,
            metrics::removeUpstream);
    loops =
        IntStream.range(0, TRAFFIC_LOOPS)
            .mapToObj(i -> new TrafficLoop(shared, random.split()))
            .collect(toImmutableList());
    return Future.all(loops.stream().map(vertx::deployVerticle).toList())
        .onSuccess(all -> deployments = ImmutableList.copyOf(all.<String>list()))
        .onSuccess(
            all ->
                workers =
                    new UpstreamWorkerShards(
                        loops.stream().map(TrafficLoop::workers).collect(toImmutableList())))
        .mapEmpty();
  }

  private Future<Void> openTransport() {
    relayServer = new RelayServer(workers);
    return Future.fromCompletionStage(
            PeerTransport.start(settings.host(), settings.peerAddress(), new Listener()))
        .onSuccess(
            opened -> {
              transport = opened;
              relayClient.connect(opened);
            })
        .mapEmpty();
  }

  private Future<Void> startControl() {
    platform = HttpPlatform.create(vertx, settings.platformAddress(), HttpPlatform.DEFAULT_TIMEOUT);
    upstreamControl = UpstreamControlClient.create(vertx, UpstreamControlClient.DEFAULT_TIMEOUT);
    var ports = new DaemonPorts(transport, platform, upstreamControl, workers, logger, metrics);
    ControlComponents components =
        ControlComponents.create(
            settings.self(), ImmutableSet.copyOf(settings.peers()), random.split());
    control = ControlLoop.start(components, routingState, ports, workers::leasesChanged);
    return Future.succeededFuture();
  }

  private Future<Void> serveCallers() {
    return Future.all(loops.stream().map(loop -> loop.serve(workers)).toList()).mapEmpty();
  }

  private Future<Void> serveOperators() {
    operatorServer =
        new OperatorServer(vertx, settings, registry, control::submit, () -> !stopping);
    return operatorServer.start();
  }

  private Daemon logStarted() {
    logger.log(
        DecisionEvent.of(
            EventCode.DAEMON_STARTED,
            "host",
            settings.host(),
            "caller_address",
            settings.callerAddress()));
    return this;
  }

  /** The event loops start to report before the control thread exists. */
  private void upstreamLoadsReported(ImmutableList<UpstreamLoad> loads) {
    if (control != null) {
      control.offer(new ControlEvent.LoadReported(loads));
    }
    loads.forEach(l -> metrics.setUpstreamLoad(l.upstream(), l.queued(), l.inFlight()));
  }

  private void requestCompleted(CompletedRequest request) {
    metrics.requestCompleted(request.service(), request.outcome(), request.latency());
    for (int i = 1; i < request.attemptCount(); i++) {
      metrics.requestRetried(request.service());
    }
    if (request.hedged()) {
      metrics.requestHedged(request.service());
    }
  }

  /**
   * Returns the address on which callers are served.
   *
   * @return the address
   */
  public NetworkAddress callerAddress() {
    return settings.callerAddress();
  }

  /**
   * Returns the address on which operators are served.
   *
   * @return the address
   */
  public NetworkAddress operatorAddress() {
    return settings.operatorAddress();
  }

  /**
   * Stops the daemon gracefully: fails the health check, hands over the dispatch leases and the
   * coordinator role, waits for running requests, and then closes all connections. No step waits
   * longer than the shutdown grace period.
   *
   * @return completes when everything is closed
   */
  public Future<Void> stop() {
    stopping = true;
    logger.log(DecisionEvent.of(EventCode.DAEMON_STOPPING, "host", settings.host()));
    return all(loops.stream().map(TrafficLoop::failHealth))
        .compose(v -> delay(HEALTH_CHECK_DELAY))
        .compose(v -> withinGracePeriod(control.handOver()))
        .compose(v -> withinGracePeriod(all(loops.stream().map(TrafficLoop::drain))))
        .compose(v -> withinGracePeriod(all(loops.stream().map(loop -> loop.workers().drained()))))
        .compose(v -> delay(FINAL_REPORT_DELAY))
        .eventually(this::close)
        .onSuccess(
            v -> logger.log(DecisionEvent.of(EventCode.DAEMON_STOPPED, "host", settings.host())));
  }

  private Future<Void> delay(Duration duration) {
    Promise<Void> promise = Promise.promise();
    vertx.setTimer(duration.toMillis(), t -> promise.complete());
    return promise.future();
  }

  private Future<Void> withinGracePeriod(Future<Void> step) {
    Promise<Void> promise = Promise.promise();
    long timer = vertx.setTimer(settings.shutdownGrace().toMillis(), t -> promise.tryComplete());
    step.onComplete(
        done -> {
          vertx.cancelTimer(timer);
          promise.tryComplete();
        });
    return promise.future();
  }

  private static Future<Void> all(Stream<Future<Void>> futures) {
    return Future.all(futures.toList()).mapEmpty();
  }

  private Future<Void> close() {
    if (control != null) {
      control.close();
    }
    if (platform != null) {
      platform.close();
    }
    if (upstreamControl != null) {
      upstreamControl.close();
    }
    Future<Void> operatorsClosed =
        operatorServer == null ? Future.succeededFuture() : operatorServer.stop();
    return operatorsClosed
        .transform(done -> Future.all(deployments.stream().map(vertx::undeploy).toList()))
        .transform(done -> closeTransport());
  }

  private Future<Void> closeTransport() {
    return transport == null
        ? Future.succeededFuture()
        : Future.fromCompletionStage(transport.close());
  }

  /** Forwards messages and relay frames from other daemons to the control thread and the relays. */
  private final class Listener implements PeerListener {

    @Override
    public void messageReceived(HostId from, PeerMessage message) {
      if (control != null) {
        control.offer(new ControlEvent.PeerMessageReceived(from, message));
      }
    }

    @Override
    public void relayReceived(PeerLink link, RelayFrame frame) {
      if (link.isOutgoing()) {
        relayClient.frameReceived(frame);
      } else {
        relayServer.frameReceived(link, frame);
      }
    }

    @Override
    public void linkSuspected(PeerLink link) {
      relayClient.linkSuspected(link);
    }

    @Override
    public void linkClosed(PeerLink link) {
      if (link.isOutgoing()) {
        relayClient.linkClosed(link);
      } else {
        relayServer.linkClosed(link);
      }
    }
  }
}
