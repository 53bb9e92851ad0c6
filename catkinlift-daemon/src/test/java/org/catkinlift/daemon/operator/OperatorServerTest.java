package org.catkinlift.daemon.operator;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.ByteArrayInputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.catkinlift.daemon.metrics.DaemonMetrics;
import org.catkinlift.daemon.settings.DaemonSettings;
import org.catkinlift.daemon.settings.SettingsReader;
import org.catkinlift.plans.OperatorReply;
import org.catkinlift.plans.OperatorRequest;
import org.catkinlift.plans.PlanRecord;
import org.catkinlift.standin.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OperatorServerTest {
  private static final String TOKEN = "0123456789abcdef";
  private static final int MAX_BODY = 1_024;

  private final Vertx vertx = Vertx.vertx();
  private final HttpClient client = HttpClient.newHttpClient();
  private final AtomicReference<OperatorRequest> receivedRequest = new AtomicReference<>();
  private final AtomicReference<Future<OperatorReply>> controlReply = new AtomicReference<>();
  private final AtomicBoolean isServing = new AtomicBoolean(true);
  private OperatorServer server;
  private int port;

  @BeforeEach
  void start() throws Exception {
    var registry = new MetricRegistry();
    new DaemonMetrics(registry, System::nanoTime).setConfiguration(7, Optional.empty());
    port = FreePorts.findOne("127.0.0.1").port();
    server = new OperatorServer(vertx, settings(), registry, this::handleRequest, isServing::get);
    server.start().toCompletionStage().toCompletableFuture().get();
  }

  @AfterEach
  void stop() throws Exception {
    stopServer();
    vertx.close().toCompletionStage().toCompletableFuture().get();
  }

  private void stopServer() throws Exception {
    server.stop().toCompletionStage().toCompletableFuture().get();
  }

  private Future<OperatorReply> handleRequest(OperatorRequest request) {
    receivedRequest.set(request);
    return controlReply.get();
  }

  private DaemonSettings settings() {
    return SettingsReader.parse(
        """
        {"host": "h", "zone": "z", "callerAddress": "127.0.0.1:1", "peerAddress": "127.0.0.1:2",
         "operatorAddress": "127.0.0.1:%d", "operatorToken": "%s", "platformAddress": "127.0.0.1:3",
         "limits": {"maxControlBodyBytes": %d}}"""
            .formatted(port, TOKEN, MAX_BODY));
  }

  private HttpResponse<String> send(String method, String path, String auth, BodyPublisher body)
      throws Exception {
    var request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).method(method, body);
    if (!auth.isEmpty()) {
      request.header("Authorization", auth);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> send(String method, String path, String body) throws Exception {
    return send(method, path, "Bearer " + TOKEN, BodyPublishers.ofString(body));
  }

  /** Guards against access without the complete token, including to unknown paths. */
  @ParameterizedTest
  @CsvSource({
    "GET, /v1/status, ''",
    "GET, /v1/status, Bearer 0123456789abcde",
    "GET, /v1/status, Bearer 0123456789abcdef0",
    "GET, /v1/status, 0123456789abcdef",
    "GET, /v1/status, Bearer_0123456789abcdef",
    "GET, /v1/status, Bear",
    "GET, /metrics, Bearer x",
    "GET, /nothing, ''",
    "POST, /v1/plans, ''"
  })
  void refusesRequestsWithoutToken(String method, String path, String auth) throws Exception {
    var response = send(method, path, auth, BodyPublishers.ofString("{}"));
    assertThat(response.statusCode()).isEqualTo(401);
    assertThat(response.body()).isEmpty();
    assertThat(receivedRequest.get()).isNull();
  }

  /** Guards against a health check that requires the token or ignores a shutdown that has begun. */
  @Test
  void healthReportsWhetherTheDaemonServes() throws Exception {
    assertThat(send("GET", "/health", "", BodyPublishers.noBody()).statusCode()).isEqualTo(200);
    isServing.set(false);
    assertThat(send("GET", "/health", "", BodyPublishers.noBody()).statusCode()).isEqualTo(503);
  }

  /** Guards against memory exhaustion by large bodies, with and without a declared length. */
  @Test
  void refusesLargeBodies() throws Exception {
    byte[] large = " ".repeat(MAX_BODY + 1).getBytes(UTF_8);
    var chunked = BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(large));
    assertThat(send("POST", "/v1/plans", new String(large, UTF_8)).statusCode()).isEqualTo(413);
    assertThat(send("POST", "/v1/plans", "Bearer " + TOKEN, chunked).statusCode()).isEqualTo(413);
    assertThat(receivedRequest.get()).isNull();
  }

  /** Guards against waiting for a body whose declared length exceeds the limit. */
  @Test
  void refusesALargeContentLengthAtOnce() throws Exception {
    try (var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      var head =
          "POST /v1/plans HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n"
              .formatted(TOKEN, MAX_BODY + 1);
      socket.getOutputStream().write(head.getBytes(UTF_8));
      var answer = new String(socket.getInputStream().readAllBytes(), UTF_8);
      assertThat(answer).startsWith("HTTP/1.1 413 ");
    }
  }

  /** Guards against malformed requests that reach the control thread or report no error. */
  @ParameterizedTest
  @CsvSource(
      quoteCharacter = '`',
      value = {
        "POST, /v1/plans, {\"intent\":\"drain-zone\"}, 400, \"path\":\"zone\"",
        "GET, /v1/plans/P_1, , 400, \"path\":\"plan\"",
        "GET, /v1/plans?limit=101, , 400, integer from 1 to 100",
        "GET, /v1/plans?limit=1&limit=2, , 400, \"path\":\"limit\"",
        "GET, /v1/plans?before=P_1, , 400, \"path\":\"before\"",
        "GET, /v1/plans?after=p-1, , 400, \"path\":\"after\"",
        "GET, /v1/explain?service=s, , 400, \"path\":\"key\"",
        "GET, /v1/explain?service=s&key=a&key=b, , 400, \"path\":\"key\"",
        "GET, /v1/explain?service=s&key=k&x=1, , 400, \"path\":\"x\"",
        "GET, /v1/explain?service=S&key=k, , 400, \"path\":\"service\"",
        "PUT, /v1/plans, , 405, ``",
        "GET, /v1/plans/p-1/confirm, , 405, ``",
        "GET, /v1/plans/p-1/other, , 404, ``"
      })
  void refusesMalformedRequests(
      String method, String path, String body, int status, String expected) throws Exception {
    var response = send(method, path, body == null ? "" : body);
    assertThat(response.statusCode()).isEqualTo(status);
    assertThat(response.body()).contains(expected);
    assertThat(receivedRequest.get()).isNull();
  }

  /** Guards against failures that clients cannot tell apart by status. */
  @ParameterizedTest
  @CsvSource({"NOT_FOUND, 404", "CONFLICT, 409", "REFUSED, 422", "PLATFORM_UNREACHABLE, 503"})
  void mapsFailuresToStatus(OperatorReply.Reason reason, int status) throws Exception {
    controlReply.set(Future.succeededFuture(new OperatorReply.Failed(reason, "why")));
    var response = send("POST", "/v1/plans/p-1/confirm", "");
    assertThat(response.statusCode()).isEqualTo(status);
    assertThat(response.body()).contains("\"detail\":\"why\"");
  }

  /** Guards against an intent or a plan that the server alters. */
  @Test
  void passesIntentAndReturnsPlan() throws Exception {
    var request = new OperatorRequest.MakePlan(SamplePlans.INTENTS.get(2));
    var shown =
        new OperatorReply.PlanShown(SamplePlans.plan(request.intent(), PlanRecord.State.CONFIRMED));
    controlReply.set(Future.succeededFuture(shown));
    OperatorHttpRequest httpRequest = OperatorRequestCodec.encode(request);
    var response = send(httpRequest.method(), httpRequest.uri(), httpRequest.body());
    assertThat(receivedRequest.get()).isEqualTo(request);
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).isEqualTo(OperatorCodec.encode(shown).toString());
  }

  /** Guards against a request that is never answered because the control thread failed. */
  @Test
  void answersWhenTheControlThreadFails() throws Exception {
    controlReply.set(Future.failedFuture(new IllegalStateException("x")));
    assertThat(send("GET", "/v1/status", "").statusCode()).isEqualTo(500);
  }

  /** Guards against a request that is never answered because the control thread is blocked. */
  @Test
  void answersWhenTheControlThreadIsSilent() throws Exception {
    stopServer();
    var timeout = Duration.ofMillis(1);
    server =
        new OperatorServer(
            vertx, settings(), new MetricRegistry(), this::handleRequest, isServing::get, timeout);
    server.start().toCompletionStage().toCompletableFuture().get();
    controlReply.set(Promise.<OperatorReply>promise().future());
    var response = send("POST", "/v1/plans/p-1/confirm", "");
    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.body()).contains("the outcome is unknown");
  }

  /** Guards against metrics that do not come from the registry. */
  @Test
  void printsMetrics() throws Exception {
    assertThat(send("GET", "/metrics", "").body()).contains("catkinlift_configuration_version 7");
  }
}
