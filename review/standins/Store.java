import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store: rows-get, rows-feed and rows-tx, as PROTOCOL.md says. */
final class Store {
  static final ObjectMapper JSON = new ObjectMapper();
  private static final long ANSWER_MILLIS = 4;

  private final HttpServer server;
  private final Record record;
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private long version = 1;
  private boolean down;
  private volatile String coordinator = "";

  private record Row(String table, String key, String value, long version, boolean removed) {}

  Store(Record record) throws IOException {
    this.record = record;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::serve);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Down: every call is answered 503, and nothing is done. */
  synchronized void setDown(boolean value) {
    down = value;
    record.add("store: %s", value ? "down, answers 503" : "up");
    notifyAll();
  }

  /** Writes a row for the operator or a worker; returns when the store has accepted it. */
  synchronized void put(String table, String key, String value) {
    version++;
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    rows.put(table + "/" + key, new Row(table, key, encoded, version, false));
    record.add("store: %s/%s written, version %d", table, key, version);
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    version++;
    rows.put(table + "/" + key, new Row(table, key, "", version, true));
    record.add("store: %s/%s removed, version %d", table, key, version);
    notifyAll();
  }

  private record Response(int status, ObjectNode body) {}

  private void serve(HttpExchange exchange) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Thread.sleep(ANSWER_MILLIS);
      Map<String, String> query = query(exchange);
      Response response =
          switch (exchange.getRequestURI().getPath()) {
            case "/rows-get" -> get(query);
            case "/rows-feed" -> feed(query);
            case "/rows-tx" -> transact(body);
            default -> new Response(404, JSON.createObjectNode());
          };
      byte[] bytes = JSON.writeValueAsBytes(response.body());
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(response.status(), bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private static Response unavailable() {
    return new Response(503, JSON.createObjectNode());
  }

  private synchronized Response get(Map<String, String> query) {
    if (down) {
      return unavailable();
    }
    String from = query.getOrDefault("from", "");
    int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
    List<Row> found =
        rows.values().stream()
            .filter(r -> r.table().equals(query.get("table")) && !r.removed())
            .filter(r -> r.key().compareTo(from) >= 0)
            .sorted(Comparator.comparing(Row::key))
            .toList();
    ObjectNode result = toJson(found.subList(0, Math.min(limit, found.size())));
    return new Response(200, result.put("has_more", found.size() > limit));
  }

  private synchronized Response feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    while (!down && changes(query, after).isEmpty() && System.nanoTime() < end) {
      wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
    }
    return down ? unavailable() : new Response(200, toJson(changes(query, after)));
  }

  private List<Row> changes(Map<String, String> query, long after) {
    return rows.values().stream()
        .filter(r -> r.table().equals(query.get("table")) && r.version() > after)
        .sorted(Comparator.comparingLong(Row::version))
        .toList();
  }

  private synchronized Response transact(String body) throws IOException {
    if (down) {
      return unavailable();
    }
    JsonNode transaction = JSON.readTree(body);
    for (JsonNode condition : transaction.path("expected_rev")) {
      Row row = rows.get(name(condition));
      long actual = row == null || row.removed() ? 0 : row.version();
      if (actual != condition.path("ver").asLong()) {
        return new Response(412, toJson(List.of()));
      }
    }
    version++;
    for (JsonNode put : transaction.path("put")) {
      String value = put.path("value").asText();
      rows.put(name(put), new Row(table(put), key(put), value, version, false));
      if (table(put).equals("catkinlift-role")) {
        if (key(put).equals("coordinator")) {
          String text = new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
          coordinator = text.split(" ")[0];
        }
        record.add(
            "store: %s = %s",
            name(put), new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8));
      }
    }
    for (JsonNode removal : transaction.path("remove")) {
      rows.put(name(removal), new Row(table(removal), key(removal), "", version, true));
    }
    notifyAll();
    return new Response(200, JSON.createObjectNode().put("ver", version).put("now", now()));
  }

  private static String table(JsonNode row) {
    return row.path("table").asText();
  }

  private static String key(JsonNode row) {
    return row.path("key").asText();
  }

  private static String name(JsonNode row) {
    return table(row) + "/" + key(row);
  }

  private String now() {
    return record.now() + "ms";
  }

  private ObjectNode toJson(List<Row> selected) {
    ObjectNode result = JSON.createObjectNode();
    ArrayNode array = result.putArray("rows");
    for (Row row : selected) {
      array
          .addObject()
          .put("table", row.table())
          .put("part", "")
          .put("key", row.key())
          .put("ver", row.version())
          .put("value", row.value())
          .put("deleted", row.removed());
    }
    return result.put("ver", version).put("now", now());
  }

  /** Returns the name of the daemon that holds the coordinator role. */
  String coordinator() {
    return coordinator;
  }

  void close() {
    server.stop(0);
  }
}
