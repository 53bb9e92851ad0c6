package org.catkinlift.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.catkinlift.model.NetworkAddress;

/**
 * A stand-in for the platform's load balancer, which also generates the load: sends each request to
 * a daemon whose last health check succeeded, and records all answers.
 */
final class TestLoadBalancer implements AutoCloseable {
  private static final long HEALTH_CHECK_INTERVAL_MILLIS = 50;
  private static final long REQUEST_INTERVAL_MILLIS = 10;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final ImmutableList<NetworkAddress> daemons;
  private final List<NetworkAddress> healthy = new CopyOnWriteArrayList<>();
  private final List<String> failures = new CopyOnWriteArrayList<>();
  private final List<String> refusedIds = new CopyOnWriteArrayList<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lastRequestNumber = new AtomicInteger();
  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(2);

  TestLoadBalancer(ImmutableList<NetworkAddress> daemons) {
    this.daemons = daemons;
    var unused =
        executor.scheduleWithFixedDelay(
            this::checkHealth, 0, HEALTH_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  void startLoad() {
    var unused =
        executor.scheduleAtFixedRate(
            this::sendNext, 0, REQUEST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  int answered() {
    return answered.get();
  }

  ImmutableList<String> failures() {
    return ImmutableList.copyOf(failures);
  }

  /** Returns the ids of the requests that were refused with outcome {@code not-run}. */
  ImmutableSet<String> refusedIds() {
    return ImmutableSet.copyOf(refusedIds);
  }

  private void checkHealth() {
    for (NetworkAddress daemon : daemons) {
      if (isHealthy(daemon)) {
        if (!healthy.contains(daemon)) {
          healthy.add(daemon);
        }
      } else {
        healthy.remove(daemon);
      }
    }
  }

  private boolean isHealthy(NetworkAddress daemon) {
    try {
      HttpRequest request = HttpRequest.newBuilder(uri(daemon, "/health")).build();
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void sendNext() {
    ImmutableList<NetworkAddress> candidates = ImmutableList.copyOf(healthy);
    if (candidates.isEmpty()) {
      return;
    }
    int n = lastRequestNumber.incrementAndGet();
    String key = "school-" + (n % 97);
    String path =
        n % 3 == 0
            ? "/v1/order-desk/" + key + "/orders/" + key
            : "/v1/order-desk/" + key + "/lookup/" + key;
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri(candidates.get(n % candidates.size()), path))
            .timeout(REQUEST_TIMEOUT)
            .header("Catkinlift-Request-Id", "load-" + n);
    if (n % 3 == 0) {
      request.POST(HttpRequest.BodyPublishers.ofString("1 diary"));
    }
    var unused =
        client
            .sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
            .whenComplete((answer, failure) -> recordAnswer(n, path, answer, failure));
  }

  private void recordAnswer(int n, String path, HttpResponse<String> answer, Throwable failure) {
    if (failure != null) {
      failures.add("load-" + n + " " + path + ": " + failure);
      return;
    }
    if (answer.statusCode() / 100 != 2) {
      failures.add("load-" + n + " " + path + ": " + answer.statusCode() + " " + answer.body());
      if (answer.headers().firstValue("Catkinlift-Outcome").orElse("").equals("not-run")) {
        refusedIds.add("load-" + n);
      }
      return;
    }
    answered.incrementAndGet();
  }

  private static URI uri(NetworkAddress daemon, String path) {
    return URI.create("http://" + daemon + path);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
