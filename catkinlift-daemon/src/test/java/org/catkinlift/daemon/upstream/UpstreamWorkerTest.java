package org.catkinlift.daemon.upstream;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableListMultimap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.catkinlift.daemon.relay.AttemptListener;
import org.catkinlift.daemon.settings.LimitSettings;
import org.catkinlift.model.CellId;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.RequestId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.protocol.RelayHead;
import org.catkinlift.standin.upstream.EndlessUpstream;
import org.catkinlift.standin.upstream.EndlessUpstream.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the attempts of a worker at an upstream that sends faulty responses. */
final class UpstreamWorkerTest {
  private static final UpstreamId UPSTREAM = UpstreamId.of("desk-1");
  private static final HostId SELF = HostId.of("host-1");
  private static final Epoch EPOCH = Epoch.of(1, 7);
  private static final Duration MAX_WAIT = Duration.ofSeconds(20);

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void stop() throws Exception {
    vertx.close().await(MAX_WAIT.toSeconds(), TimeUnit.SECONDS);
  }

  /** The caller would get the status as if it were the answer, or take the request for not run. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 X\r\n",
        "HTTP/1.1 099 X\r\n",
        "HTTP/1.1 600 X\r\n",
        "HTTP/1.1 000 X\r\nCatkinlift-Outcome: not-run\r\n"
      })
  void responseWithInvalidStatusIsLost(String head) throws Exception {
    try (var server =
        new EndlessUpstream(id -> Reply.complete(head + "Content-Length: 2\r\n\r\nok"))) {
      var result = new CompletableFuture<String>();
      vertx.runOnContext(v -> open(server, new Result(result)));

      assertThat(result.get(MAX_WAIT.toSeconds(), TimeUnit.SECONDS))
          .isEqualTo(Outcome.unknown(RefusalCode.CONNECTION_LOST).toString());
    }
  }

  private void open(EndlessUpstream server, AttemptListener listener) {
    var upstream =
        new UpstreamDefinition(
            UPSTREAM, ZoneName.of("z"), CellId.of("z.1"), server.address(), 2, 4);
    var worker = new UpstreamWorker(vertx, upstream, SELF, LimitSettings.DEFAULTS, e -> {});
    worker.leaseGranted(new DispatchLease(UPSTREAM, SELF, EPOCH, MAX_WAIT), System.nanoTime());
    RequestDescription request =
        RequestDescription.builder()
            .id(RequestId.of("r1"))
            .service(ServiceName.of("order-desk"))
            .build();
    RelayHead head =
        RelayHead.builder()
            .request(request)
            .upstream(UPSTREAM)
            .slot(-1)
            .epoch(EPOCH)
            .method("GET")
            .target("/order/k")
            .build();
    var unused = worker.open(1, head, listener);
    vertx.setPeriodic(20, t -> worker.tick());
  }

  /** Completes with the status or the outcome of an attempt. */
  private record Result(CompletableFuture<String> value) implements AttemptListener {
    @Override
    public void headReceived(int status, ImmutableListMultimap<String, String> headers) {
      value.complete("status " + status);
    }

    @Override
    public void bodyReceived(Buffer data, boolean last) {}

    @Override
    public void creditGranted(int bytes) {}

    @Override
    public void failed(Outcome outcome) {
      value.complete(outcome.toString());
    }
  }
}
