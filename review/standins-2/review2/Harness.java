package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A small deployment on loopback addresses: a store, workers of one service and one router. */
final class Harness implements AutoCloseable {
  record Run(String worker, String line, String id, long bodyBytes) {}

  /** All requests that workers of this process began to run. */
  static final Queue<Run> RUNS = new ConcurrentLinkedQueue<>();

  // A JVM that fails to start exits with 1, so the scripts translate these.
  private static final int BROKEN = 11;
  private static final int HELD = 10;
  private static final int NOT_RUN = 12;

  static final String HOST = "counter.example";
  private static final String CONFIG =
      """
      {"config_version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
      "header_timeout":"3000ms","idle_timeout":"15000ms"},"base_version":0,
      "listeners":[{"host":"counter.example","route_rules":[
      {"name":"lookup","kind":"idempotent","target_latency":"400ms","priority":2,
      "match":{"prefix":"/stock/"},"action":{"service":"orderdesk","timeout":"5000ms","max_attempts":2}},
      {"name":"order","kind":"non_idempotent","target_latency":"500ms","priority":1,
      "match":{"prefix":"/orders/"},"action":{"service":"orderdesk","timeout":"5000ms","max_attempts":2}},
      {"name":"proof","kind":"download","target_latency":"400ms","priority":2,
      "match":{"prefix":"/proofs/"},"action":{"service":"proofroom","timeout":"5000ms","max_attempts":2}},
      {"name":"request","kind":"non_idempotent","target_latency":"500ms","priority":1,
      "match":{"prefix":"/requests/"},"action":{"service":"proofroom","timeout":"3000ms","max_attempts":2}},
      {"name":"proofpost","kind":"idempotent","target_latency":"400ms","priority":2,
      "match":{"prefix":"/checks/"},"action":{"service":"proofroom","timeout":"20000ms","max_attempts":2}}]}],
      "clusters":[{"name":"orderdesk","health_path":"/health","max_conns":130,"protocol":"h1",
      "tls":false,"cold_start":"3s","cold_per_s":9.4,"sharded":true,"warm":"3s","grants":"invoke"},
      {"name":"proofroom","health_path":"/health","max_conns":130,"protocol":"h1","tls":false,
      "cold_start":"3s","cold_per_s":9.4}]}
      """;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Record record;
  final Store store;
  /** From the start of the deployment: the first three workers are listed, no keys are assigned. */
  final Store.Copy firstCopy;
  final List<Worker> workers = new ArrayList<>();
  final List<Router> routers = new ArrayList<>();
  final Router router;
  private final Path temporary;

  Harness(Path folder, int orderWorkers, int proofWorkers, int routerCount) throws Exception {
    temporary = Files.createTempDirectory("review-2-");
    record = new Record(folder.resolve("record.txt"));
    record.line("disruption " + (trouble ? "on" : "off"));
    store = new Store();
    putConfig();
    Store.Copy copy = store.copy();
    for (int i = 0; i < orderWorkers; i++) {
      workers.add(new Worker("i-order" + i, "orderdesk", true, store, record));
      Thread.sleep(30);
      copy = i == 2 ? store.copy() : copy;
    }
    for (int i = 0; i < proofWorkers; i++) {
      workers.add(new Worker("i-proof" + i, "proofroom", false, store, record));
    }
    firstCopy = copy;
    Runtime.getRuntime().addShutdownHook(new Thread(() -> routers.forEach(Router::end)));
    for (int i = 1; i <= routerCount; i++) {
      String name = "front-suva-" + i;
      routers.add(
          new Router(name, store.openDoor(), temporary, temporary.resolve(name + ".log")));
    }
    router = routers.get(0);
    try {
      for (Router each : routers) {
        each.awaitReady();
      }
      // Until the first grants have arrived and the first seconds after the start are over.
      Thread.sleep(4_000);
    } catch (Exception e) {
      close();
      throw e;
    }
  }

  /** Ends the whole process, with the exit code that the page asks for. */
  static void main(Path folder, int orders, int proofs, Check check) {
    main(folder, orders, proofs, 1, check);
  }

  static void main(Path folder, int orders, int proofs, int routers, Check check) {
    int code = NOT_RUN;
    try (Harness harness = new Harness(folder, orders, proofs, routers)) {
      boolean broken = check.isBroken(harness);
      harness.record.line(broken ? "RULE BROKEN" : "rule held");
      code = broken ? BROKEN : HELD;
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  void putConfig() {
    store.put("op", "config", CONFIG);
  }

  interface Check {
    boolean isBroken(Harness harness) throws Exception;
  }

  @Override
  public void close() throws IOException {
    for (Router each : routers) {
      if (!each.process.isAlive()) {
        record.line(each.name + " had ended by itself with " + each.process.exitValue());
      }
      each.end();
    }
    store.stop();
    if (System.getenv("KEEP_LOGS") != null) {
      // For an investigation: the settings and the logs of the routers stay.
      record.line("logs are kept in the temporary folder " + temporary.getFileName());
      record.close();
      return;
    }
    try (var files = Files.walk(temporary)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    }
    record.close();
  }
}
