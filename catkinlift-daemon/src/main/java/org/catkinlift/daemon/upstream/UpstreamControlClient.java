package org.catkinlift.daemon.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.control.UpstreamRequest.Reply;
import org.catkinlift.model.NetworkAddress;

/** Sends control requests to upstreams over HTTP. */
public final class UpstreamControlClient {

  /**
   * The time after which an answer counts as lost. Two renewal intervals of a grant (250 ms each),
   * so that a lost answer leaves time for another renewal within the lease of 1 s.
   */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofMillis(500);

  /**
   * One connection carries the renewals; the second one is there for a connection that went silent.
   */
  private static final int CONNECTIONS_PER_UPSTREAM = 2;

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int CONFLICT = 409;
  private static final int SERVER_ERRORS = 500;

  /** Stands for a failure of the connection or a time-out, which tells as little as status 503. */
  private static final Answer NO_ANSWER = new Answer(503, "");

  private final HttpClient client;
  private final Duration timeout;

  private UpstreamControlClient(HttpClient client, Duration timeout) {
    this.client = client;
    this.timeout = timeout;
  }

  /**
   * Creates the client; connections are opened when needed.
   *
   * @param vertx runs the client
   * @param timeout the time after which an answer counts as lost
   * @return the client
   */
  public static UpstreamControlClient create(Vertx vertx, Duration timeout) {
    var options = new HttpClientOptions().setConnectTimeout((int) timeout.toMillis());
    var pool = new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_UPSTREAM);
    return new UpstreamControlClient(vertx.createHttpClient(options, pool), timeout);
  }

  /**
   * Calls an upstream.
   *
   * @param address where the upstream listens
   * @param request the request
   * @return the reply; {@link Reply.NoAnswer} if none came in time. Fails with an {@link
   *     UpstreamException} if the answer cannot be read
   */
  public Future<Reply> call(NetworkAddress address, UpstreamRequest request) {
    return switch (request) {
      case UpstreamRequest.Probe r -> send(address, HttpMethod.GET, "health", "");
      case UpstreamRequest.Grant r ->
          send(address, HttpMethod.POST, "grant", ControlCodec.encode(r));
      case UpstreamRequest.Release r ->
          send(address, HttpMethod.POST, "release", ControlCodec.encode(r));
    };
  }

  /** Closes the connections. */
  public void close() {
    var unused = client.close();
  }

  private Future<Reply> send(NetworkAddress address, HttpMethod method, String name, String body) {
    var options =
        new RequestOptions()
            .setMethod(method)
            .setHost(address.ip())
            .setPort(address.port())
            .setURI("/_upstream/" + name)
            .setIdleTimeout(timeout.toMillis());
    return client
        .request(options)
        .compose(r -> r.send(Buffer.buffer(body)))
        .compose(UpstreamControlClient::readAnswer)
        .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .otherwise(NO_ANSWER)
        .map(UpstreamControlClient::decode);
  }

  private static Future<Answer> readAnswer(HttpClientResponse response) {
    return response.body().map(body -> new Answer(response.statusCode(), body.toString(UTF_8)));
  }

  private static Reply decode(Answer answer) {
    if (answer.status() >= SERVER_ERRORS) {
      return new Reply.NoAnswer();
    }
    return switch (answer.status()) {
      case OK, ACCEPTED, CONFLICT -> ControlCodec.decode(answer.body());
      default ->
          throw new UpstreamException(
              UpstreamException.Code.UNEXPECTED_STATUS,
              "the upstream answered with status " + answer.status());
    };
  }

  private record Answer(int status, String body) {}
}
