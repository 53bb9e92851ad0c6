package org.catkinlift.standin.upstream;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.TimeUnit;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.standin.HeaderNames;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards grant checking, freezing and backpressure, which are only observable over HTTP. */
final class UpstreamStandinTest {

  private final Vertx vertx = Vertx.vertx();
  private final HttpClient client = vertx.createHttpClient();
  private UpstreamStandin standin;

  @BeforeEach
  void start() throws Exception {
    var settings = UpstreamSettings.builder().id(UpstreamId.of("desk-1")).build();
    standin = await(UpstreamStandin.start(vertx, settings, "127.0.0.1", 0));
  }

  @AfterEach
  void stop() throws Exception {
    await(vertx.close());
  }

  @Test
  void handlesRequestsReceivedWhileFrozenAfterResuming() throws Exception {
    await(standin.setFaults(UpstreamFaults.NONE.withFrozen(true)));
    Future<HttpClientResponse> lookup = send(standin.directAddress(), HttpMethod.GET, "/lookup/k");
    HttpClientResponse faults =
        await(send(standin.address(), HttpMethod.POST, "/faults", "{\"slowFactor\":1}"));

    assertThat(faults.statusCode()).isEqualTo(200);
    assertThat(lookup.isComplete()).isFalse();
    assertThat(await(standin.activity()).executions()).isEmpty();
    await(standin.setFaults(UpstreamFaults.NONE));
    assertThat(await(lookup).statusCode()).isEqualTo(200);
  }

  @Test
  void refusesWithoutAGrantOnTheServicePortOnly() throws Exception {
    HttpClientResponse refused = await(send(standin.address(), HttpMethod.GET, "/lookup/k"));
    HttpClientResponse direct = await(send(standin.directAddress(), HttpMethod.GET, "/lookup/k"));

    assertThat(refused.statusCode()).isEqualTo(409);
    assertThat(refused.getHeader(HeaderNames.OUTCOME)).isEqualTo(HeaderNames.NOT_RUN);
    assertThat(direct.statusCode()).isEqualTo(200);
    assertThat(await(standin.activity()).executions()).hasSize(1);
  }

  @Test
  void appliesBackpressureToASlowReceiver() throws Exception {
    long bytes = 64L * 1024 * 1024;
    HttpClientResponse answer =
        await(sendPaused(standin.directAddress(), "/files/page?bytes=" + bytes));

    assertThat(await(standin.activity()).executions().get(0).endNanos()).isEmpty();
    Future<Buffer> body = answer.body();
    answer.resume();
    assertThat(await(body).length()).isEqualTo(bytes);
  }

  private Future<HttpClientResponse> send(NetworkAddress to, HttpMethod method, String uri) {
    return send(to, method, uri, "");
  }

  private Future<HttpClientResponse> send(
      NetworkAddress to, HttpMethod method, String uri, String body) {
    return client.request(options(to, method, uri)).compose(r -> r.send(Buffer.buffer(body)));
  }

  private Future<HttpClientResponse> sendPaused(NetworkAddress to, String uri) {
    return client
        .request(options(to, HttpMethod.GET, uri))
        .compose(r -> r.send())
        .map(
            answer -> {
              answer.pause();
              return answer;
            });
  }

  private static RequestOptions options(NetworkAddress to, HttpMethod method, String uri) {
    return new RequestOptions()
        .setMethod(method)
        .setHost(to.ip())
        .setPort(to.port())
        .setURI(uri)
        .putHeader(HeaderNames.REQUEST_ID, "r1");
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
  }
}
