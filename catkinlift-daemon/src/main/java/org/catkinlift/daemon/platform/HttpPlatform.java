package org.catkinlift.daemon.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.net.URLEncoder;
import java.time.Duration;
import java.util.function.Function;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.daemon.http.ControlHttpClient;
import org.catkinlift.daemon.http.ControlHttpClient.Response;
import org.catkinlift.model.CellId;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;

/** Calls the platform with JSON over HTTP. */
public final class HttpPlatform implements Platform {

  /**
   * The time after which a response counts as lost. It is half of the platform lease of 1 s, so
   * that a lease holder can retry the renewal once after a time-out before the lease expires.
   */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofMillis(500);

  /** Fits the rows of a whole table. */
  private static final int MAX_REPLY_BYTES = 64 << 20;

  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final ControlHttpClient client;
  private final NetworkAddress address;

  private HttpPlatform(ControlHttpClient client, NetworkAddress address) {
    this.client = client;
    this.address = address;
  }

  /**
   * Creates the adapter; connections are opened on demand.
   *
   * @param vertx the Vert.x instance of the client
   * @param address the address of the platform
   * @param timeout the time after which a response counts as lost
   * @return the adapter
   */
  public static HttpPlatform create(Vertx vertx, NetworkAddress address, Duration timeout) {
    var client = new ControlHttpClient(vertx, new PoolOptions(), timeout, MAX_REPLY_BYTES);
    return new HttpPlatform(client, address);
  }

  @Override
  public Future<Reply> call(PlatformRequest request) {
    return switch (request) {
      case PlatformRequest.ReadRows r ->
          send(
              HttpMethod.GET,
              "/table?prefix=" + URLEncoder.encode(r.prefix(), UTF_8),
              "",
              HttpPlatform::decodeRead);
      case PlatformRequest.Transact r ->
          send(HttpMethod.POST, "/transactions", encode(r), HttpPlatform::decodeTransaction);
      case PlatformRequest.ReadHosts r ->
          send(HttpMethod.GET, "/hosts", "", HttpPlatform::decodeHosts);
    };
  }

  @Override
  public void close() {
    client.close();
  }

  private Future<Reply> send(
      HttpMethod method, String uri, String body, Function<Response, Reply> decode) {
    return client
        .send(address, method, uri, body)
        .map(response -> response.map(decode).orElseGet(Reply.NoAnswer::new));
  }

  private static String encode(PlatformRequest.Transact request) {
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
    return node.toString();
  }

  private static Reply decodeRead(Response response) {
    return response.status() == OK ? new Reply.Rows(rows(response)) : unexpected(response);
  }

  private static Reply decodeTransaction(Response response) {
    return switch (response.status()) {
      case OK -> new Reply.Applied();
      case CONFLICT -> new Reply.Conflict(rows(response));
      default -> unexpected(response);
    };
  }

  private static Reply decodeHosts(Response response) {
    if (response.status() != OK) {
      return unexpected(response);
    }
    JsonNode root = RowCodec.parse(response.body());
    return RowCodec.decodeChecked(
        () ->
            new Reply.Hosts(
                JsonFields.list(root, "live", HttpPlatform::host),
                JsonFields.nameList(root, "leaving", HostId::of)));
  }

  private static Reply unexpected(Response response) {
    throw new PlatformException(
        PlatformException.Code.UNEXPECTED_STATUS,
        "the platform returned unexpected status " + response.status());
  }

  private static ImmutableList<PlatformRequest.Row> rows(Response response) {
    return JsonFields.list(RowCodec.parse(response.body()), "rows", HttpPlatform::row);
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
}
