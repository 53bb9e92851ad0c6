package org.catkinlift.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.settings.GatewaySettings;
import org.catkinlift.gateway.settings.GatewaySettings.Addresses;
import org.catkinlift.gateway.settings.GatewaySettings.CallerBounds;
import org.catkinlift.gateway.settings.GatewaySettings.HeaderNames;
import org.catkinlift.gateway.settings.GatewaySettings.RetryBudget;
import org.catkinlift.gateway.settings.GatewaySettings.TenantSettings;
import org.catkinlift.gateway.settings.GatewaySettings.TimeLimits;
import org.catkinlift.gateway.store.KeyGrants;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.ranges.GrantResult;
import org.catkinlift.ranges.RangeAction;
import org.catkinlift.routes.CallerLimits;
import org.catkinlift.routes.RequestKind;
import org.catkinlift.routes.Route;
import org.catkinlift.routes.RouteConfiguration;
import org.catkinlift.routes.ServiceProfile;
import org.catkinlift.routes.WeightedTarget;
import org.catkinlift.standin.FreePorts;
import org.catkinlift.tenants.StalenessBound;
import org.catkinlift.tenants.TenantRegistry;
import org.catkinlift.upstreams.UpstreamRecord;

/** A running daemon with an in-memory store, for tests of complete requests. */
final class GatewayFixture {
  static final ServiceName SHARED = ServiceName.of("shared");
  static final ServiceName KEYED = ServiceName.of("keyed");
  static final Duration SHORT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final ZoneName ZONE = ZoneName.of("z");
  private static final int READ_TIMEOUT_MILLIS = 20_000;
  private static final int READY_ATTEMPTS = 400;

  private final GatewaySettings settings;
  private final ByteArrayOutputStream log = new ByteArrayOutputStream();
  private InMemoryStore store;
  final Gateway gateway;

  GatewayFixture() {
    this(new StalenessBound.FailOpen());
  }

  GatewayFixture(StalenessBound stalenessBound) {
    settings = settings(stalenessBound);
    EventLog eventLog = EventLog.start("test", log);
    gateway =
        Gateway.start(
            settings,
            eventLog,
            new Gateway.ExternalSystems(
                loop -> {
                  store = new InMemoryStore(loop);
                  return store;
                },
                caller -> new SucceedingKeyGrants()));
  }

  /** Key grants and releases that always succeed. */
  private static final class SucceedingKeyGrants implements KeyGrants {
    @Override
    public void grant(
        RangeAction.Grant grant, BooleanSupplier roleHeld, Consumer<GrantResult> done) {
      done.accept(new GrantResult.Done(Optional.empty()));
    }

    @Override
    public void release(
        RangeAction.Release release, BooleanSupplier roleHeld, Consumer<GrantResult> done) {
      done.accept(new GrantResult.Done(Optional.of("h")));
    }
  }

  InMemoryStore store() {
    return store;
  }

  private static NetworkAddress freeAddress() {
    return FreePorts.findOne("127.0.0.1");
  }

  private static GatewaySettings settings(StalenessBound stalenessBound) {
    return new GatewaySettings(
        HostId.of("host-1"),
        ZONE,
        1,
        new Addresses(
            freeAddress(), freeAddress(), "/ready", freeAddress(), freeAddress(), freeAddress()),
        new TimeLimits(
            Duration.ofSeconds(2),
            Duration.ofSeconds(5),
            Duration.ofSeconds(6),
            Duration.ofSeconds(10)),
        new RetryBudget(0.2, 100, Duration.ofSeconds(10)),
        new HeaderNames(
            "x-request-id",
            "x-deadline-ms",
            "x-shard-key",
            "x-server-signature",
            "x-expect-instance",
            "x-not-executed",
            "x-instance-id",
            "x-server-load"),
        new TenantSettings("x-tenant", "authorization", "Token", stalenessBound),
        CallerBounds.DEFAULT);
  }

  static UpstreamRecord upstream(String id, ServiceName service, NetworkAddress address) {
    return UpstreamRecord.builder()
        .id(UpstreamId.of(id))
        .startedMillis(1)
        .service(service)
        .address(address)
        .zone(ZONE)
        .concurrencyLimit(4)
        .build();
  }

  /** Returns the record of an upstream once it has announced that it leaves. */
  static UpstreamRecord draining(UpstreamRecord upstream) {
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

  /** Waits until a line of the event log contains a text. */
  void awaitLogged(String text) throws InterruptedException {
    for (int i = 0; i < READY_ATTEMPTS; i++) {
      if (log.toString(StandardCharsets.UTF_8).contains(text)) {
        return;
      }
      Thread.sleep(25);
    }
    throw new AssertionError("not logged: " + text);
  }

  String logged() {
    return log.toString(StandardCharsets.UTF_8);
  }

  private static Route route(
      String prefix, RequestKind kind, ServiceName service, Duration timeout) {
    return Route.builder()
        .name("r" + prefix.replace('/', '-'))
        .host("a.example")
        .prefix(prefix)
        .kind(kind)
        .targetLatency(Duration.ofSeconds(5))
        .timeout(timeout)
        .maxAttempts(2)
        .targets(ImmutableList.of(new WeightedTarget(service, 1)))
        .build();
  }

  private static Route publicRoute() {
    return Route.builder()
        .name("r-public")
        .host("a.example")
        .prefix("/public/")
        .kind(RequestKind.IDEMPOTENT)
        .isPublic(true)
        .targets(ImmutableList.of(new WeightedTarget(SHARED, 1)))
        .build();
  }

  private static ServiceProfile profile(ServiceName name) {
    return new ServiceProfile(name, "/health", 100, 10, name.equals(KEYED), Duration.ZERO);
  }

  /** Publishes a configuration and the upstreams and waits until the daemon is ready. */
  void serve(UpstreamRecord... upstreams) throws Exception {
    publish(upstreams);
    for (int i = 0; i < READY_ATTEMPTS; i++) {
      if (health() == 200) {
        return;
      }
      Thread.sleep(25);
    }
    throw new AssertionError("daemon did not become ready");
  }

  /** Publishes a configuration and the upstreams. */
  void publish(UpstreamRecord... upstreams) {
    publishConfiguration(1, TenantRegistry.NONE);
    store.setUpstreams(upstreams);
  }

  /** Publishes a version of the configuration that differs from others in its tenants only. */
  void publishConfiguration(long version, TenantRegistry tenants) {
    store.setConfiguration(
        new RouteConfiguration(
            version,
            CallerLimits.DEFAULT,
            ImmutableList.of(
                route("/lookup/", RequestKind.IDEMPOTENT, SHARED, TIMEOUT),
                route("/brief/", RequestKind.IDEMPOTENT, SHARED, SHORT_TIMEOUT),
                route("/order/", RequestKind.NON_IDEMPOTENT, SHARED, TIMEOUT),
                route("/upload/", RequestKind.UPLOAD, SHARED, TIMEOUT),
                route("/keyed/", RequestKind.IDEMPOTENT, KEYED, TIMEOUT),
                publicRoute()),
            ImmutableMap.of(SHARED, profile(SHARED), KEYED, profile(KEYED)),
            tenants));
  }

  int health() throws IOException {
    try (var connection = new Connection(settings.addresses().health())) {
      connection.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
      return connection.read().status();
    }
  }

  Connection connect() throws IOException {
    return new Connection(settings.addresses().callers());
  }

  static String get(String path, String id, String extraHeaders) {
    return "GET "
        + path
        + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: "
        + id
        + "\r\nX-Deadline-Ms: 8000\r\n"
        + extraHeaders
        + "\r\n";
  }

  /** A response as received by a caller. */
  record Response(int status, String head, String body) {}

  /** A connection of a caller. */
  static final class Connection implements Closeable {
    private final Socket socket;

    Connection(NetworkAddress address) throws IOException {
      socket = new Socket(InetAddress.getLoopbackAddress(), address.port());
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }

    /** Reads a response with a content length. */
    Response read() throws IOException {
      var head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = socket.getInputStream().read();
        if (next < 0) {
          throw new IOException("connection closed after receiving: " + head);
        }
        head.append((char) next);
      }
      int length =
          head.toString()
              .lines()
              .filter(l -> l.toLowerCase(Locale.ROOT).startsWith("content-length:"))
              .mapToInt(l -> Integer.parseInt(l.substring(15).trim()))
              .findFirst()
              .orElse(0);
      byte[] body = socket.getInputStream().readNBytes(length);
      return new Response(
          Integer.parseInt(head.substring(9, 12)),
          head.toString(),
          new String(body, StandardCharsets.ISO_8859_1));
    }

    /** Reads until the connection ends, or fails; returns the number of bytes. */
    long countToEnd(Duration limit) {
      long deadlineNanos = System.nanoTime() + limit.toNanos();
      long count = 0;
      byte[] buffer = new byte[1 << 16];
      try {
        int read = 0;
        while (read >= 0) {
          count += read;
          if (System.nanoTime() > deadlineNanos) {
            throw new AssertionError("connection not ended after " + count + " bytes");
          }
          read = socket.getInputStream().read(buffer);
        }
      } catch (SocketTimeoutException e) {
        throw new AssertionError("connection silent after " + count + " bytes", e);
      } catch (IOException e) {
        // A connection reset ends the response as well.
        return count;
      }
      return count;
    }

    boolean isClosedByServer() throws IOException {
      return socket.getInputStream().read() < 0;
    }

    /** Reads until the connection ends, whether or not the response is complete. */
    String readToEnd() {
      return readToEnd(new AtomicLong());
    }

    /** As {@link #readToEnd()}; counts the bytes as they arrive. */
    String readToEnd(AtomicLong receivedBytes) {
      var text = new StringBuilder();
      try {
        int next = socket.getInputStream().read();
        while (next >= 0) {
          text.append((char) next);
          receivedBytes.incrementAndGet();
          next = socket.getInputStream().read();
        }
      } catch (IOException e) {
        // A connection reset ends the response as well.
        text.append("");
      }
      return text.toString();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
