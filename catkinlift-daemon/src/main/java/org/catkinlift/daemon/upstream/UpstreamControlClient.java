package org.catkinlift.daemon.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.time.Duration;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.control.UpstreamRequest.Reply;
import org.catkinlift.daemon.http.ControlHttpClient;
import org.catkinlift.daemon.http.ControlHttpClient.Response;
import org.catkinlift.model.NetworkAddress;

/** Sends control requests to upstreams over HTTP. */
public final class UpstreamControlClient {

  /**
   * The time after which a response counts as lost. It is two renewal intervals of a grant (250 ms
   * each), so that after a lost response there is time for another renewal within the 1 s lease.
   */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofMillis(500);

  /** One connection carries the renewals; the second one is used when the first has gone silent. */
  private static final int CONNECTIONS_PER_UPSTREAM = 2;

  /** A reply names the slots that were granted or released. */
  private static final int MAX_REPLY_BYTES = 1 << 20;

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int CONFLICT = 409;

  private final ControlHttpClient client;

  private UpstreamControlClient(ControlHttpClient client) {
    this.client = client;
  }

  /**
   * Creates the client; connections are opened on demand.
   *
   * @param vertx runs the client
   * @param timeout the time after which a response counts as lost
   * @return the client
   */
  public static UpstreamControlClient create(Vertx vertx, Duration timeout) {
    var pool = new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_UPSTREAM);
    return new UpstreamControlClient(new ControlHttpClient(vertx, pool, timeout, MAX_REPLY_BYTES));
  }

  /**
   * Calls an upstream.
   *
   * @param address the address of the upstream
   * @param request the request
   * @return the reply; {@link Reply.NoAnswer} if the request failed or timed out. Fails with an
   *     {@link UpstreamException} if the response is invalid
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
    client.close();
  }

  private Future<Reply> send(NetworkAddress address, HttpMethod method, String name, String body) {
    return client
        .send(address, method, "/_upstream/" + name, body)
        .map(
            response -> response.map(UpstreamControlClient::decode).orElseGet(Reply.NoAnswer::new));
  }

  private static Reply decode(Response response) {
    return switch (response.status()) {
      case OK, ACCEPTED, CONFLICT -> ControlCodec.decode(response.body());
      default ->
          throw new UpstreamException(
              UpstreamException.Code.UNEXPECTED_STATUS,
              "unexpected status from upstream: " + response.status());
    };
  }
}
