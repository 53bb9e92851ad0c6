package org.catkinlift.daemon.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.catkinlift.model.NetworkAddress;

/** HTTP client for the control thread's requests; a response after the timeout counts as lost. */
public final class ControlHttpClient {
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final HttpClient client;
  private final Duration timeout;
  private final int maxBodyBytes;

  /**
   * Creates the client; connections are opened on demand.
   *
   * @param vertx runs the client
   * @param pool the options of the connection pool
   * @param timeout the time after which a response counts as lost
   * @param maxBodyBytes the size of a body above which a response counts as lost, in bytes
   */
  public ControlHttpClient(Vertx vertx, PoolOptions pool, Duration timeout, int maxBodyBytes) {
    // Bytes that follow a response stay in the decoder of a kept connection and would become the
    // start of the next response, so each call has a connection of its own.
    var options =
        new HttpClientOptions().setConnectTimeout((int) timeout.toMillis()).setKeepAlive(false);
    this.client = HttpClients.create(vertx, options, pool);
    this.timeout = timeout;
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * A response with a status below 500.
   *
   * @param status the HTTP status
   * @param body the body
   */
  public record Response(int status, String body) {}

  /**
   * Sends a request.
   *
   * @param to the address of the server
   * @param method the HTTP method
   * @param uri the path and query
   * @param body the request body; empty for none
   * @return the response; empty if the connection failed, the request timed out or the server
   *     returned a 5xx status, in which case it is unknown whether the request took effect. The
   *     future never fails
   */
  public Future<Optional<Response>> send(
      NetworkAddress to, HttpMethod method, String uri, String body) {
    var options =
        new RequestOptions()
            .setMethod(method)
            .setHost(to.ip())
            .setPort(to.port())
            .setURI(uri)
            .setIdleTimeout(timeout.toMillis());
    return client
        .request(options)
        .compose(r -> ShortExchange.send(r, Buffer.buffer(body), maxBodyBytes, timeout))
        .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .map(r -> new Response(r.status(), r.body().toString(UTF_8)))
        .map(response -> Optional.of(response).filter(r -> r.status() < MIN_SERVER_ERROR_STATUS))
        .otherwise(Optional.empty());
  }

  /** Closes the connections. */
  public void close() {
    var unused = client.close();
  }
}
