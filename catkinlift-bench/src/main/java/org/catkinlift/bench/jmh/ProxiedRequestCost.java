package org.catkinlift.bench.jmh;

import com.sun.management.OperatingSystemMXBean;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.catkinlift.model.NetworkAddress;

/**
 * Measures the processor time that one request costs a daemon.
 *
 * <p>Callers, daemon and upstream run in one process. The same requests sent straight to the
 * upstream are subtracted, so that the cost of the callers and of the upstream drops out.
 */
final class ProxiedRequestCost {
  private static final int WARM_UP = 40_000;
  private static final int REQUESTS = 40_000;
  private static final int CALLERS = 16;
  private static final long WAIT_SECONDS = 120;
  private static final long READY_ATTEMPTS = 300;
  private static final long READY_MILLIS = 100;

  private final OneDaemonSite site;
  private final HttpClient client;

  private ProxiedRequestCost(OneDaemonSite site) {
    this.site = site;
    this.client =
        site.vertx()
            .createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(CALLERS));
  }

  /**
   * Measures.
   *
   * @return the processor time of a proxied request beyond that of a direct one, in nanoseconds
   * @throws Exception if the site does not serve
   */
  static double nanos() throws Exception {
    OneDaemonSite site = OneDaemonSite.start();
    try {
      return new ProxiedRequestCost(site).measure();
    } finally {
      site.stop();
    }
  }

  private double measure() throws Exception {
    String proxied = "/v1/order-desk/school-1/lookup/school-1";
    awaitServing(proxied);
    processorNanos(site.callerAddress(), proxied, WARM_UP);
    processorNanos(site.directAddress(), "/lookup/school-1", WARM_UP);
    double through = processorNanos(site.callerAddress(), proxied, REQUESTS);
    double straight = processorNanos(site.directAddress(), "/lookup/school-1", REQUESTS);
    return (through - straight) / REQUESTS;
  }

  private void awaitServing(String path) throws Exception {
    for (int i = 0; i < READY_ATTEMPTS; i++) {
      if (await(status(site.callerAddress(), path)) == 200) {
        return;
      }
      Thread.sleep(READY_MILLIS);
    }
    throw new IllegalStateException("the daemon does not serve");
  }

  private double processorNanos(NetworkAddress address, String path, int count) throws Exception {
    var system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    long before = system.getProcessCpuTime();
    var left = new AtomicInteger(count);
    List<Future<Void>> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      Promise<Void> done = Promise.promise();
      sendNext(address, path, left, done);
      callers.add(done.future());
    }
    await(Future.all(callers).mapEmpty());
    return system.getProcessCpuTime() - before;
  }

  private void sendNext(
      NetworkAddress address, String path, AtomicInteger left, Promise<Void> done) {
    if (left.getAndDecrement() <= 0) {
      done.complete();
      return;
    }
    status(address, path)
        .onSuccess(
            status -> {
              if (status != 200) {
                done.fail("status " + status);
                return;
              }
              sendNext(address, path, left, done);
            })
        .onFailure(done::tryFail);
  }

  private Future<Integer> status(NetworkAddress address, String path) {
    return client
        .request(HttpMethod.GET, address.port(), address.ip(), path)
        .compose(HttpClientRequest::send)
        .compose(ProxiedRequestCost::readWhole);
  }

  private static Future<Integer> readWhole(HttpClientResponse answer) {
    return answer.body().map(body -> answer.statusCode());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
