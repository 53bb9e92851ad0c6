package org.catkinlift.cli;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.catkinlift.control.RowValue;
import org.catkinlift.daemon.Daemon;
import org.catkinlift.daemon.platform.RowCodec;
import org.catkinlift.daemon.settings.DaemonSettings;
import org.catkinlift.daemon.settings.OperatorToken;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceDefinition;
import org.catkinlift.model.ServiceKind;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.standin.FreePorts;
import org.catkinlift.standin.platform.HostList;
import org.catkinlift.standin.platform.PlatformStandin;
import org.catkinlift.standin.upstream.UpstreamActivity;
import org.catkinlift.standin.upstream.UpstreamSettings;
import org.catkinlift.standin.upstream.UpstreamStandin;

/** Runs a small deployment on loopback addresses: platform stand-in, upstreams and daemons. */
final class TestSite implements AutoCloseable {
  static final ServiceName ORDER_DESK = ServiceName.of("order-desk");
  static final ServiceName PROOF_FILES = ServiceName.of("proof-files");
  static final String TOKEN = "a-token-for-tests-only";

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
  private static final int CONCURRENCY_LIMIT = 4;
  private static final int CONNECTION_LIMIT = 130;

  private final Vertx vertx = Vertx.vertx();
  private final HttpClient client = HttpClient.newHttpClient();
  private final PlatformStandin platform;
  private final Map<UpstreamId, UpstreamStandin> upstreams = new HashMap<>();
  private final Map<HostId, DaemonSettings> settings = new HashMap<>();
  private final Map<HostId, Daemon> daemons = new HashMap<>();

  private TestSite() {
    platform = await(PlatformStandin.start(vertx, "127.0.0.1", 0));
  }

  /** Starts two daemons and two upstreams of each service in each availability zone. */
  static TestSite start(String... zones) {
    var site = new TestSite();
    var keyed = new ArrayList<UpstreamDefinition>();
    var shared = new ArrayList<UpstreamDefinition>();
    var hosts = new ArrayList<HostDefinition>();
    for (String zone : zones) {
      for (int i = 1; i <= 2; i++) {
        keyed.add(site.startUpstream("desk-" + zone + "-" + i, zone));
        shared.add(site.startUpstream("files-" + zone + "-" + i, zone));
        hosts.add(host(zone + "-" + i, zone));
      }
    }
    site.writeConfiguration(zones, keyed, shared);
    site.platform.setHosts(new HostList(ImmutableList.copyOf(hosts), ImmutableList.of()));
    hosts.forEach(host -> site.createSettings(host, hosts, zones));
    site.settings.keySet().forEach(site::startDaemon);
    return site;
  }

  private UpstreamDefinition startUpstream(String name, String zone) {
    UpstreamStandin upstream =
        await(
            UpstreamStandin.start(
                vertx,
                UpstreamSettings.builder()
                    .id(UpstreamId.of(name))
                    .executionSlots(CONCURRENCY_LIMIT)
                    .connectionLimit(CONNECTION_LIMIT)
                    .build(),
                "127.0.0.1",
                0));
    upstreams.put(UpstreamId.of(name), upstream);
    return new UpstreamDefinition(
        UpstreamId.of(name),
        ZoneName.of(zone),
        CellId.of(zone),
        upstream.address(),
        CONCURRENCY_LIMIT,
        CONNECTION_LIMIT);
  }

  private void writeConfiguration(
      String[] zones, List<UpstreamDefinition> keyed, List<UpstreamDefinition> shared) {
    ImmutableSet<ZoneName> names =
        ImmutableSet.copyOf(List.of(zones).stream().map(ZoneName::of).toList());
    var configuration =
        Configuration.builder()
            .version(1)
            .services(
                ImmutableMap.of(
                    ORDER_DESK,
                    new ServiceDefinition(
                        ORDER_DESK, ServiceKind.keyed(), names, ImmutableList.copyOf(keyed), 0),
                    PROOF_FILES,
                    new ServiceDefinition(
                        PROOF_FILES, ServiceKind.shared(), names, ImmutableList.copyOf(shared), 0)))
            .build();
    platform.putRow(
        Configuration.NAME,
        RowCodec.encode((RowValue) new RowValue.ConfigurationRow(configuration)).toString());
  }

  private static HostDefinition host(String name, String zone) {
    return new HostDefinition(
        HostId.of(name), ZoneName.of(zone), CellId.of(zone), FreePorts.findOne("127.0.0.1"));
  }

  private void createSettings(HostDefinition host, List<HostDefinition> all, String[] zones) {
    settings.put(
        host.id(),
        DaemonSettings.builder()
            .host(host.id())
            .zone(host.zone())
            .cell(host.cell())
            .zones(ImmutableSet.copyOf(List.of(zones).stream().map(ZoneName::of).toList()))
            .callerAddress(FreePorts.findOne("127.0.0.1"))
            .peerAddress(host.peerAddress())
            .operatorAddress(FreePorts.findOne("127.0.0.1"))
            .operatorToken(OperatorToken.of(TOKEN))
            .platformAddress(platform.address())
            .peers(all.stream().filter(h -> !h.equals(host)).collect(toImmutableList()))
            .build());
  }

  void startDaemon(HostId host) {
    daemons.put(host, await(Daemon.start(vertx, settings.get(host))));
  }

  Future<Void> stopDaemon(HostId host) {
    return daemons.remove(host).stop();
  }

  PlatformStandin platform() {
    return platform;
  }

  ImmutableList<UpstreamStandin> upstreams() {
    return ImmutableList.copyOf(upstreams.values());
  }

  DaemonSettings settings(HostId host) {
    return settings.get(host);
  }

  HttpResponse<String> get(HostId daemon, String path) {
    return send(daemon, HttpRequest.newBuilder().GET(), path);
  }

  /** Returns the lines of a daemon's metrics endpoint. */
  ImmutableList<String> metrics(HostId daemon) {
    URI uri = URI.create("http://" + settings.get(daemon).operatorAddress() + "/metrics");
    var request = HttpRequest.newBuilder().GET().header("Authorization", "Bearer " + TOKEN);
    return send(request, uri).body().lines().collect(toImmutableList());
  }

  HttpResponse<String> send(HostId daemon, HttpRequest.Builder request, String path) {
    return send(request, URI.create("http://" + settings.get(daemon).callerAddress() + path));
  }

  private HttpResponse<String> send(HttpRequest.Builder request, URI uri) {
    try {
      return client.send(
          request.uri(uri).timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** Waits until each daemon answers a request to each service with status 200. */
  void awaitServing() {
    for (HostId host : daemons.keySet()) {
      awaitOkAnswer(host, "/v1/order-desk/school-1/lookup/school-1");
      awaitOkAnswer(host, "/v1/proof-files/none/files/page?bytes=10");
    }
  }

  private void awaitOkAnswer(HostId host, String path) {
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    String lastAnswer = "";
    while (System.nanoTime() < deadlineNanos) {
      HttpResponse<String> answer = get(host, path);
      lastAnswer = answer.statusCode() + " " + answer.body();
      if (answer.statusCode() == 200) {
        return;
      }
      await(delay(Duration.ofMillis(100)));
    }
    throw new IllegalStateException(
        host + " did not serve " + path + " in time, last answer " + lastAnswer);
  }

  /**
   * Polls until a condition holds. The time-out only keeps the test from hanging; it is no bound
   * that the daemons guarantee.
   *
   * @param description describes the condition if it does not hold in time
   */
  void awaitUntil(Supplier<String> description, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + CONDITION_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("condition not met in time: " + description.get());
      }
      await(delay(POLL_INTERVAL));
    }
  }

  /** Returns the recorded activity of the upstreams whose ids start with a prefix. */
  ImmutableList<UpstreamActivity> upstreamActivities(String prefix) {
    return upstreams().stream()
        .filter(u -> u.settings().id().value().startsWith(prefix))
        .map(u -> await(u.activity()))
        .collect(toImmutableList());
  }

  Future<Void> delay(Duration duration) {
    return Future.future(p -> vertx.setTimer(duration.toMillis(), t -> p.complete()));
  }

  static <T> T await(Future<T> future) {
    try {
      return future
          .toCompletionStage()
          .toCompletableFuture()
          .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    await(vertx.close());
  }
}
