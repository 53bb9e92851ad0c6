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
import org.catkinlift.events.EventCode;
import org.catkinlift.gateway.control.GatewayControl;
import org.catkinlift.gateway.control.LoopTimerService;
import org.catkinlift.gateway.http.TextHttpClient;
import org.catkinlift.gateway.http.TextHttpServer;
import org.catkinlift.gateway.http.TextResponse;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.metrics.GatewayMetrics;
import org.catkinlift.gateway.settings.GatewaySettings;
import org.catkinlift.gateway.store.KeyGrants;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.gateway.traffic.CallerServer;
import org.catkinlift.gateway.traffic.ReverseProxy;
import org.catkinlift.gateway.traffic.TrafficSnapshot;
import org.catkinlift.model.ServiceName;
import org.catkinlift.ranges.RangeMap;
import org.catkinlift.timer.TimerService;

/** One daemon: its control thread, its traffic thread and its servers. */
public final class Gateway {
  private static final Duration TRAFFIC_REPORT = Duration.ofMillis(200);

  /** The load balancer needs two failed health checks before it sends no new connections. */
  private static final Duration BALANCER_NOTICE = Duration.ofMillis(2_600);

  /** Between the end of the daemon's own stop and the forced one. */
  private static final Duration STOP_RESERVE = Duration.ofMillis(700);

  /** From the stop signal on, requests are taken for so long; they end well within the grace. */
  private static final Duration TAKING_REQUESTS = Duration.ofMillis(3_200);

  private static final Duration STOP_CHECK = Duration.ofMillis(100);

  private final GatewaySettings settings;
  private final EventLog log;
  private final EventLoop controlLoop;
  private final EventLoop trafficLoop;
  private final TimerService trafficTimers;
  private final ReverseProxy traffic;
  private final GatewayControl control;
  private final CallerServer callers;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private boolean ready;
  private boolean stopping;

  /**
   * What connects the daemon to the outside systems.
   *
   * @param store makes the store on the control thread
   * @param grants makes the calls to upstreams about keys on the control thread
   */
  public record Outside(
      Function<EventLoop, MetadataStore> store, Function<TextHttpClient, KeyGrants> grants) {}

  private Gateway(GatewaySettings settings, EventLog log, Outside outside) {
    this.settings = settings;
    this.log = log;
    this.controlLoop = newLoop("control");
    this.trafficLoop = newLoop("traffic");
    this.trafficTimers = new LoopTimerService(trafficLoop);
    var random = new SplittableRandom();
    this.traffic = new ReverseProxy(trafficLoop, trafficTimers, settings, log, metrics, random);
    this.callers = new CallerServer(trafficLoop, trafficTimers, traffic);
    var peers = new TextHttpClient(controlLoop);
    this.control =
        new GatewayControl(
            settings,
            new LoopTimerService(controlLoop),
            outside.store().apply(controlLoop),
            outside.grants().apply(new TextHttpClient(controlLoop)),
            peers,
            log,
            random.nextLong(Long.MAX_VALUE),
            snapshot -> trafficLoop.execute(() -> applied(snapshot)),
            shares -> trafficLoop.execute(() -> traffic.apply(shares)));
  }

  private static EventLoop newLoop(String name) {
    var threads = new DefaultThreadFactory(name, true);
    return (EventLoop)
        new MultiThreadIoEventLoopGroup(1, threads, NioIoHandler.newFactory()).next();
  }

  /**
   * Starts a daemon.
   *
   * @param settings its settings
   * @param log takes decisions
   * @param outside connects it to the outside systems
   * @return the daemon
   */
  public static Gateway start(GatewaySettings settings, EventLog log, Outside outside) {
    readNetworkProperties();
    var gateway = new Gateway(settings, log, outside);
    gateway.listen();
    gateway.controlLoop.execute(gateway.control::start);
    gateway.trafficTimers.every(TRAFFIC_REPORT, gateway::reportTraffic);
    log.log(
        EventCode.DAEMON_STARTED,
        ImmutableMap.of("callers", settings.addresses().callers(), "zone", settings.zone()));
    return gateway;
  }

  /**
   * Lets the JDK read its files of network and security properties before other threads run. On the
   * users' platform a process was ended when it read them while its event loops started.
   */
  private static void readNetworkProperties() {
    InetAddress unused = InetAddress.getLoopbackAddress();
  }

  private void listen() {
    callers.start(settings.addresses().callers()).syncUninterruptibly();
    TextHttpServer.start(
            trafficLoop, settings.addresses().health(), (path, body) -> answerHealth(path))
        .syncUninterruptibly();
    TextHttpServer.start(controlLoop, settings.addresses().peers(), control()::answerPeer)
        .syncUninterruptibly();
    TextHttpServer.start(
            controlLoop,
            settings.addresses().metrics(),
            (path, body) -> new TextResponse(200, metrics.render()))
        .awaitUninterruptibly()
        .addListener(
            listening -> {
              if (!listening.isSuccess()) {
                log.log(
                    EventCode.METRICS_NOT_SERVED,
                    ImmutableMap.of("reason", String.valueOf(listening.cause())));
              }
            });
  }

  private GatewayControl control() {
    return control;
  }

  private TextResponse answerHealth(String path) {
    boolean known = path.equals(settings.addresses().healthPath());
    return new TextResponse(known && ready && !stopping ? 200 : 503, "");
  }

  private void applied(TrafficSnapshot snapshot) {
    traffic.apply(snapshot);
    boolean known = snapshot.configuration().isKnown();
    boolean assigned =
        snapshot.configuration().services().values().stream()
            .allMatch(s -> !s.keyed() || hasHolders(snapshot, s.name()));
    ready = ready || (known && assigned);
  }

  private static boolean hasHolders(TrafficSnapshot snapshot, ServiceName service) {
    RangeMap map = snapshot.rangeMaps().getOrDefault(service, RangeMap.EMPTY);
    return !map.assignments().isEmpty();
  }

  private void reportTraffic() {
    ReverseProxy.LoadSample seen = traffic.takeLoadSample();
    controlLoop.execute(() -> control.trafficSeen(seen.keyWork(), seen.workTimes()));
  }

  /**
   * Stops without cutting a request: the health check fails first, the coordinator role is given
   * up, and callers are served until their connections have ended or the grace is nearly over. May
   * be called on any thread.
   */
  public void stop() {
    log.log(EventCode.DAEMON_STOPPING, ImmutableMap.of("host", settings.host()));
    controlLoop.execute(control::resign);
    long start = System.nanoTime();
    trafficLoop.execute(
        () -> {
          stopping = true;
          callers.beginStop();
          trafficTimers.after(BALANCER_NOTICE, () -> awaitEnd(start));
          trafficTimers.after(TAKING_REQUESTS, callers::beginRefusing);
        });
  }

  private void awaitEnd(long startNanos) {
    callers.closeIdle();
    long limit = settings.bounds().stopGrace().minus(STOP_RESERVE).toNanos();
    boolean timeIsOver = System.nanoTime() - startNanos > limit;
    boolean done = callers.openConnections() == 0 && traffic.requestsInProgress() == 0;
    if (done || timeIsOver) {
      log.log(
          EventCode.DAEMON_STOPPED, ImmutableMap.of("connections_left", callers.openConnections()));
      stopped.countDown();
      return;
    }
    trafficTimers.after(STOP_CHECK, () -> awaitEnd(startNanos));
  }

  /**
   * Waits until the daemon has stopped.
   *
   * @throws InterruptedException if the calling thread is interrupted
   */
  public void awaitStopped() throws InterruptedException {
    stopped.await();
  }
}
