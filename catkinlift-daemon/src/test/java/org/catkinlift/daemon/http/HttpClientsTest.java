package org.catkinlift.daemon.http;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.catkinlift.standin.upstream.EndlessUpstream;
import org.catkinlift.standin.upstream.EndlessUpstream.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the decoder of responses on a connection that is used more than once. */
final class HttpClientsTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int MAX_BODY_BYTES = 1_024;

  private final Vertx vertx = Vertx.vertx();
  private final HttpClientAgent client =
      HttpClients.create(vertx, new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(1));

  @AfterEach
  void stop() throws Exception {
    client.close().await(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    vertx.close().await(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  /** The response to HEAD would wait for a body, or take the next response for it. */
  @Test
  void responseToHeadHasNoBody() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    try (var server =
        new EndlessUpstream(
            target -> Reply.complete(target.equals("/head") ? head : head + "whole"))) {
      assertThat(send(server, HttpMethod.GET, "/a").body().toString()).isEqualTo("whole");
      assertThat(send(server, HttpMethod.HEAD, "/head").body().length()).isEqualTo(0);
      assertThat(send(server, HttpMethod.GET, "/b").body().toString()).isEqualTo("whole");
      assertThat(server.openConnections()).isEqualTo(1);
    }
  }

  private ShortExchange.Response send(EndlessUpstream server, HttpMethod method, String target)
      throws Exception {
    var options =
        new RequestOptions()
            .setMethod(method)
            .setHost(server.address().ip())
            .setPort(server.address().port())
            .setURI(target);
    return client
        .request(options)
        .compose(r -> ShortExchange.send(r, Buffer.buffer(), MAX_BODY_BYTES, TIMEOUT))
        .await(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }
}
