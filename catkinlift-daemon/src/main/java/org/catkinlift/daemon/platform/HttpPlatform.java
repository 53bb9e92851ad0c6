package org.catkinlift.daemon.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.net.URLEncoder;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;

/** Calls the platform over HTTP. */
public final class HttpPlatform implements Platform {

  /**
   * The time after which an answer counts as lost. Half of a platform lease: a holder that hears
   * nothing for so long can still renew once before its lease of 1 s ends.
   */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofMillis(500);

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int SERVER_ERRORS = 500;

  /** Stands for a failure of the connection or a time-out, which tells as little as status 503. */
  private static final Answer NO_ANSWER = new Answer(503, "");

  private final HttpClient client;
  private final NetworkAddress address;
  private final Duration timeout;

  private HttpPlatform(HttpClient client, NetworkAddress address, Duration timeout) {
    this.client = client;
    this.address = address;
    this.timeout = timeout;
  }

  /**
   * Creates the adapter; connections are opened when needed.
   *
   * @param vertx runs the client
   * @param address where the platform listens
   * @param timeout the time after which an answer counts as lost
   * @return the adapter
   */
  public static HttpPlatform create(Vertx vertx, NetworkAddress address, Duration timeout) {
    var options = new HttpClientOptions().setConnectTimeout((int) timeout.toMillis());
    return new HttpPlatform(vertx.createHttpClient(options), address, timeout);
  }

  @Override
  public Future<Reply> call(PlatformRequest request) {
    return switch (request) {
      case PlatformRequest.ReadRows r ->
          send(
              HttpMethod.GET,
              "/table?prefix=" + URLEncoder.encode(r.prefix(), UTF_8),
              Buffer.buffer(),
              HttpPlatform::decodeRead);
      case PlatformRequest.Transact r ->
          send(HttpMethod.POST, "/transactions", encode(r), HttpPlatform::decodeTransaction);
      case PlatformRequest.ReadHosts r ->
          send(HttpMethod.GET, "/hosts", Buffer.buffer(), HttpPlatform::decodeHosts);
    };
  }

  @Override
  public void close() {
    client.close();
  }

  private Future<Reply> send(
      HttpMethod method, String uri, Buffer body, Function<Answer, Reply> decode) {
    var options =
        new RequestOptions()
            .setMethod(method)
            .setHost(address.ip())
            .setPort(address.port())
            .setURI(uri)
            .setIdleTimeout(timeout.toMillis());
    return client
        .request(options)
        .compose(r -> r.send(body))
        .compose(HttpPlatform::readAnswer)
        .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .otherwise(NO_ANSWER)
        .map(
            answer ->
                answer.status() >= SERVER_ERRORS ? new Reply.NoAnswer() : decode.apply(answer));
  }

  private static Future<Answer> readAnswer(HttpClientResponse response) {
    return response.body().map(body -> new Answer(response.statusCode(), body.toString(UTF_8)));
  }

  private static Buffer encode(PlatformRequest.Transact request) {
    ObjectNode node = JsonFields.object().put("requestId", request.requestId());
    ArrayNode conditions = node.putArray("conditions");
    request
        .conditions()
        .forEach((row, version) -> conditions.addObject().put("row", row).put("version", version));
    ArrayNode writes = node.putArray("writes");
    request
        .writes()
        .forEach(
            (row, value) ->
                writes.addObject().put("row", row).set("value", RowCodec.encode(value)));
    return Buffer.buffer(node.toString());
  }

  private static Reply decodeRead(Answer answer) {
    return answer.status() == OK ? new Reply.Rows(rows(answer)) : unexpected(answer);
  }

  private static Reply decodeTransaction(Answer answer) {
    return switch (answer.status()) {
      case OK -> new Reply.Applied();
      case CONFLICT -> new Reply.Conflict(rows(answer));
      default -> unexpected(answer);
    };
  }

  private static Reply decodeHosts(Answer answer) {
    if (answer.status() != OK) {
      return unexpected(answer);
    }
    JsonNode root = RowCodec.parse(answer.body());
    return RowCodec.checked(
        () ->
            new Reply.Hosts(
                JsonFields.list(root, "live", HttpPlatform::host),
                JsonFields.nameList(root, "leaving", HostId::of)));
  }

  private static Reply unexpected(Answer answer) {
    throw new PlatformException(
        PlatformException.Code.UNEXPECTED_STATUS,
        "the platform answered with status " + answer.status());
  }

  private static ImmutableList<PlatformRequest.Row> rows(Answer answer) {
    return JsonFields.list(RowCodec.parse(answer.body()), "rows", HttpPlatform::row);
  }

  private static PlatformRequest.Row row(JsonNode node) {
    return new PlatformRequest.Row(
        JsonFields.text(node, "row"),
        JsonFields.number(node, "version"),
        JsonFields.text(node, "requestId"),
        RowCodec.decode(JsonFields.required(node, "value")));
  }

  private static HostDefinition host(JsonNode node) {
    return new HostDefinition(
        HostId.of(JsonFields.text(node, "host")),
        ZoneName.of(JsonFields.text(node, "zone")),
        CellId.of(JsonFields.text(node, "cell")),
        NetworkAddress.of(JsonFields.text(node, "ip"), JsonFields.integer(node, "port")));
  }

  private record Answer(int status, String body) {}
}
