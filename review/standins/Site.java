import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, workers and daemons. */
final class Site implements AutoCloseable {
  static final String HOST = "ficu95.example";

  /** Exit codes of a case. */
  static final int HELD = 0;

  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  final Record record;
  final Store store;
  final List<Worker> workers = new ArrayList<>();
  final List<Daemon> daemons = new ArrayList<>();

  private final Path root;
  private final Path folder;

  /** What a case does; returns an exit code. */
  interface Case {
    int run(Site site, boolean trouble) throws Exception;
  }

  private Site(Record record, Path root) throws IOException {
    this.record = record;
    this.root = root;
    this.folder = Files.createTempDirectory("review");
    this.store = new Store(record);
  }

  /** Runs a case and ends the process. Arguments: the repository's root and the case's folder. */
  static void main(String[] arguments, Case body) throws Exception {
    Path root = Path.of(arguments[0]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = NOT_RUN;
    try (var record = new Record(Path.of(arguments[1], "record.txt"))) {
      record.add("trouble: %s", trouble ? "yes" : "no");
      try (var site = new Site(record, root)) {
        Runtime.getRuntime().addShutdownHook(new Thread(site::endProcesses));
        try {
          code = body.run(site, trouble);
        } finally {
          if (code == NOT_RUN) {
            site.copyLogs();
          }
        }
      } catch (Exception e) {
        record.add("the case could not run: %s", e);
        e.printStackTrace();
      }
      record.add("result: %s", code == HELD ? "held" : code == BROKEN ? "broken" : "not run");
    }
    System.out.println(code == HELD ? "held" : code == BROKEN ? "broken" : "not run");
    System.exit(code);
  }

  /** Writes the operator's configuration. Each route is the JSON text of a rule. */
  void configure(int version, List<String> services, List<String> rules) {
    store.put(
        "op",
        "config",
        "{\"config_version\":%d,".formatted(version)
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
            + "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
            + "\"listeners\":[{\"host\":\"%s\",\"route_rules\":[%s]}],"
                .formatted(HOST, String.join(",", rules))
            + "\"clusters\":[%s]}".formatted(String.join(",", services)));
  }

  static String service(String name, boolean sharded) {
    return "{\"name\":\"%s\",\"health_path\":\"/health\",\"max_conns\":130,".formatted(name)
        + "\"cold_start\":\"3s\",\"cold_per_s\":9.4,\"sharded\":%s,\"warm\":\"3s\"}"
            .formatted(sharded);
  }

  static String rule(
      String name, String prefix, String kind, String service, int aim, int timeout, int attempts) {
    return "{\"name\":\"%s\",\"kind\":\"%s\",\"target_latency\":\"%dms\",\"priority\":1,"
            .formatted(name, kind, aim)
        + "\"match\":{\"prefix\":\"%s\"},".formatted(prefix)
        + "\"action\":{\"service\":\"%s\",\"timeout\":\"%dms\",\"max_attempts\":%d}}"
            .formatted(service, timeout, attempts);
  }

  void add(Worker worker) {
    workers.add(worker);
    store.put("servers", worker.id, worker.entry("ready", 0));
  }

  Daemon startDaemon(String name, String zone) throws IOException {
    return startDaemon(name, zone, store.port());
  }

  /** Starts a daemon that reaches the store through another port. */
  Daemon startDaemon(String name, String zone, int storePort) throws IOException {
    var daemon = new Daemon(record, root, folder, name, zone, storePort);
    daemons.add(daemon);
    daemon.start();
    return daemon;
  }

  void awaitReady() throws Exception {
    long end = System.nanoTime() + 30_000_000_000L;
    while (!daemons.stream().allMatch(Daemon::isReady)) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("daemons not ready after 30 s");
      }
      Thread.sleep(100);
    }
    record.add("all daemons are ready");
  }

  /** Adds what the daemons logged to the record. */
  void copyLogs() throws IOException {
    for (Daemon daemon : daemons) {
      for (String line : Files.readAllLines(daemon.log())) {
        record.add("log of %s: %s", daemon.name, line);
      }
    }
  }

  /** Adds the lines of the daemons' logs that contain one of some texts to the record. */
  void copyLogs(String... texts) throws IOException {
    for (Daemon daemon : daemons) {
      for (String line : Files.readAllLines(daemon.log())) {
        if (Stream.of(texts).anyMatch(line::contains)) {
          record.add("log of %s: %s", daemon.name, line);
        }
      }
    }
  }

  private void endProcesses() {
    for (Daemon daemon : daemons) {
      try {
        daemon.end();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    store.close();
    for (Worker worker : workers) {
      worker.close();
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    }
  }
}
