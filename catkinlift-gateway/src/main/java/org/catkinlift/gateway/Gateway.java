package org.catkinlift.gateway;

import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.catkinlift.admission.ShutdownWindow;
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.control.EventLoopTimerService;
import org.catkinlift.gateway.control.GatewayControl;
import org.catkinlift.gateway.http.TextHttpClient;
import org.catkinlift.gateway.http.TextHttpServer;
import org.catkinlift.gateway.http.TextResponse;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.metrics.GatewayMetrics;
import org.catkinlift.gateway.settings.GatewaySettings;
import org.catkinlift.gateway.store.KeyGrants;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.gateway.traffic.CallerServer;
import org.catkinlift.gateway.traffic.ContactTime;
import org.catkinlift.gateway.traffic.ReverseProxy;
import org.catkinlift.gateway.traffic.TrafficSnapshot;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.TenantName;
import org.catkinlift.quotas.QuotaShares;
import org.catkinlift.ranges.RangeMap;
import org.catkinlift.shares.ShareReport;
import org.catkinlift.timer.TimerService;

/** A daemon: its control thread, its traffic thread and its servers. */
public final class Gateway {
  private static final Duration TRAFFIC_REPORT_INTERVAL = Duration.ofMillis(200);

  /** The load balancer stops opening connections only after two failed health checks. */
  private static final Duration UNHEALTHY_DETECTION_TIME = Duration.ofMillis(2_600);

  private static final Duration STOP_CHECK_INTERVAL = Duration.ofMillis(100);

  private final GatewaySettings settings;
  private final EventLog log;
  private final EventLoop controlLoop;
  private final EventLoop trafficLoop;
  private final TimerService trafficTimers;
  private final ReverseProxy proxy;
  private final GatewayControl control;
  private final CallerServer callerServer;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final CountDownLatch stoppedLatch = new CountDownLatch(1);
  private boolean ready;
  private boolean stopping;

  /**
   * Factories of the clients for the systems that the daemon depends on.
   *
   * @param storeFactory creates the store client on the control loop
   * @param grantsFactory creates the client that sends key grants to upstreams
   */
  public record ExternalSystems(
      Function<EventLoop, MetadataStore> storeFactory,
      Function<TextHttpClient, KeyGrants> grantsFactory) {}

  private Gateway(GatewaySettings settings, EventLog log, ExternalSystems externalSystems) {
    this.settings = settings;
    this.log = log;
    this.controlLoop = newEventLoop("control");
    this.trafficLoop = newEventLoop("traffic");
    this.trafficTimers = new EventLoopTimerService(trafficLoop, log);
    var random = new SplittableRandom();
    var contactTime = new ContactTime();
    this.proxy =
        new ReverseProxy(trafficLoop, trafficTimers, settings, contactTime, log, metrics, random);
    this.callerServer = new CallerServer(trafficLoop, trafficTimers, proxy);
    var peerClient = new TextHttpClient(controlLoop, log);
    this.control =
        new GatewayControl(
            settings,
            new EventLoopTimerService(controlLoop, log),
            externalSystems.storeFactory().apply(controlLoop),
            externalSystems.grantsFactory().apply(new TextHttpClient(controlLoop, log)),
            peerClient,
            log,
            random.nextLong(Long.MAX_VALUE),
            snapshot -> trafficLoop.execute(() -> applySnapshot(snapshot)),
            shares -> trafficLoop.execute(() -> proxy.apply(shares)),
            contactTime::set,
            shares -> trafficLoop.execute(() -> applyQuotaShares(shares)));
  }

  private static EventLoop newEventLoop(String name) {
    var threadFactory = new DefaultThreadFactory(name, true);
    return (EventLoop)
        new MultiThreadIoEventLoopGroup(1, threadFactory, NioIoHandler.newFactory()).next();
  }

  /**
   * Starts a daemon.
   *
   * @param settings the daemon's settings
   * @param log the event log
   * @param externalSystems the factories of the clients for external systems
   * @return the daemon
   */
  public static Gateway start(
      GatewaySettings settings, EventLog log, ExternalSystems externalSystems) {
    preloadNetworkProperties();
    var gateway = new Gateway(settings, log, externalSystems);
    gateway.listen();
    gateway.controlLoop.execute(gateway.control::start);
    gateway.trafficTimers.every(TRAFFIC_REPORT_INTERVAL, gateway::reportTraffic);
    log.log(
        EventCode.DAEMON_STARTED,
        ImmutableMap.of("callers", settings.addresses().callers(), "zone", settings.zone()));
    return gateway;
  }

  /**
   * Makes the JDK read its network and security property files before other threads run. On the
   * target platform, a process was killed when it read them while its event loops started.
   */
  private static void preloadNetworkProperties() {
    InetAddress unused = InetAddress.getLoopbackAddress();
  }

  private void listen() {
    callerServer.start(settings.addresses().callers()).syncUninterruptibly();
    TextHttpServer.start(
            trafficLoop,
            settings.addresses().health(),
            TextHttpServer.Limits.WITHOUT_BODIES,
            (path, body) -> healthResponse(path))
        .syncUninterruptibly();
    TextHttpServer.start(
            controlLoop,
            settings.addresses().peers(),
            TextHttpServer.Limits.PEERS,
            control()::handlePeerMessage)
        .syncUninterruptibly();
    TextHttpServer.start(
            controlLoop,
            settings.addresses().metrics(),
            TextHttpServer.Limits.WITHOUT_BODIES,
            (path, body) -> new TextResponse(200, metrics.render()))
        .awaitUninterruptibly()
        .addListener(
            bindFuture -> {
              if (!bindFuture.isSuccess()) {
                log.log(
                    EventCode.METRICS_NOT_SERVED,
                    ImmutableMap.of("reason", String.valueOf(bindFuture.cause())));
              }
            });
  }

  private GatewayControl control() {
    return control;
  }

  private TextResponse healthResponse(String path) {
    boolean isHealthPath = path.equals(settings.addresses().healthPath());
    return new TextResponse(isHealthPath && ready && !stopping ? 200 : 503, "");
  }

  private void applySnapshot(TrafficSnapshot snapshot) {
    proxy.apply(snapshot);
    boolean configurationKnown = snapshot.configuration().isKnown();
    boolean keysAssigned =
        snapshot.configuration().services().values().stream()
            .allMatch(s -> !s.keyed() || hasAssignments(snapshot, s.name()));
    ready = ready || (configurationKnown && keysAssigned);
  }

  private static boolean hasAssignments(TrafficSnapshot snapshot, ServiceName service) {
    RangeMap map = snapshot.rangeMaps().getOrDefault(service, RangeMap.EMPTY);
    return !map.assignments().isEmpty();
  }

  /** Confirms the shares at once, because the coordinator changes them only after that. */
  private void applyQuotaShares(QuotaShares shares) {
    proxy.apply(shares);
    reportQuotas();
  }

  private void reportQuotas() {
    ShareReport<TenantName> quotas = proxy.takeQuotaReport();
    controlLoop.execute(() -> control.quotasMeasured(quotas));
  }

  private void reportTraffic() {
    ReverseProxy.LoadSample sample = proxy.takeLoadSample();
    ShareReport<TenantName> quotas = proxy.takeQuotaReport();
    if (sample.isEmpty() && quotas.isEmpty()) {
      return;
    }
    controlLoop.execute(
        () -> {
          control.trafficMeasured(sample.keyWork(), sample.workTimes());
          control.quotasMeasured(quotas);
        });
  }

  /**
   * Shuts down gracefully: fails the health check, gives up the coordinator role, and serves
   * callers until their connections have ended or the grace period is nearly over. May be called on
   * any thread.
   */
  public void stop() {
    log.log(EventCode.DAEMON_STOPPING, ImmutableMap.of("host", settings.host()));
    controlLoop.execute(control::resign);
    var window = ShutdownWindow.of(System.nanoTime(), settings.timeLimits().stopGracePeriod());
    trafficLoop.execute(
        () -> {
          stopping = true;
          callerServer.beginStop();
          proxy.beginStop(window);
          trafficTimers.after(UNHEALTHY_DETECTION_TIME, () -> checkStopped(window));
        });
  }

  private void checkStopped(ShutdownWindow window) {
    callerServer.closeIdle();
    boolean gracePeriodOver = System.nanoTime() - window.exitNanos() > 0;
    boolean drained = callerServer.openConnections() == 0 && proxy.requestsInProgress() == 0;
    if (drained || gracePeriodOver) {
      log.log(
          EventCode.DAEMON_STOPPED,
          ImmutableMap.of("connections_left", callerServer.openConnections()));
      stoppedLatch.countDown();
      return;
    }
    trafficTimers.after(STOP_CHECK_INTERVAL, () -> checkStopped(window));
  }

  /**
   * Waits until the daemon has stopped.
   *
   * @throws InterruptedException if the calling thread is interrupted
   */
  public void awaitStopped() throws InterruptedException {
    stoppedLatch.await();
  }
}
