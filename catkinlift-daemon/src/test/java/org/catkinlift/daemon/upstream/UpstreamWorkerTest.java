package org.catkinlift.daemon.upstream;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import com.google.common.collect.ImmutableListMultimap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.catkinlift.daemon.relay.AttemptListener;
import org.catkinlift.daemon.relay.AttemptStream;
import org.catkinlift.daemon.settings.LimitSettings;
import org.catkinlift.model.CellId;
import org.catkinlift.model.DispatchLease;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestDescription;
import org.catkinlift.model.RequestId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.protocol.RelayHead;
import org.catkinlift.standin.upstream.EarlyResponseUpstream;
import org.catkinlift.standin.upstream.EarlyResponseUpstream.End;
import org.catkinlift.standin.upstream.EndlessUpstream;
import org.catkinlift.standin.upstream.EndlessUpstream.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the attempts of a worker at an upstream that sends faulty responses. */
final class UpstreamWorkerTest {
  private static final UpstreamId UPSTREAM = UpstreamId.of("desk-1");
  private static final HostId SELF = HostId.of("host-1");
  private static final Epoch EPOCH = Epoch.of(1, 7);
  private static final Duration MAX_WAIT = Duration.ofSeconds(20);

  /** Half of it is more than the buffers of the sockets to the upstream hold. */
  private static final int UPLOAD_BYTES = 64 << 20;

  private static final ImmutableListMultimap<String, String> UPLOAD_HEADERS =
      ImmutableListMultimap.of("content-length", Integer.toString(UPLOAD_BYTES));

  private static final long RESPONSE_MILLIS = 400;
  private static final long POLL_MILLIS = 20;
  private static final String WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\n";

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
    assertLost(head);
  }

  private void assertLost(String head) throws Exception {
    try (var server =
        new EndlessUpstream(id -> Reply.complete(head + "Content-Length: 2\r\n\r\nok"))) {
      var result = new CompletableFuture<String>();
      vertx.runOnContext(v -> open(server.address(), false, new Result(result)));

      assertThat(result.get(MAX_WAIT.toSeconds(), TimeUnit.SECONDS))
          .isEqualTo(Outcome.unknown(RefusalCode.CONNECTION_LOST).toString());
    }
  }

  /** The caller would get the line without its blank, or a body of another length. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "X-A : x",
        "X-A\t: x",
        "X A: x",
        "X\tA: x",
        "X-A ",
        " X-A: x",
        "X-A",
        ": x",
        "X\u0000A: x",
        "X\u001fA: x",
        "X\u007fA: x",
        "X\u0080A: x",
        "Content-Length : 1",
        "Catkinlift-Outcome : not-run"
      })
  void responseWithInvalidFieldNameIsLost(String line) throws Exception {
    assertLost("HTTP/1.1 200 OK\r\n" + line + "\r\n");
  }

  /** What the worker has of the body of a request when the response ends. */
  enum Upload {
    NONE,
    PART,
    /** All of it; part of it waits to be sent. */
    WHOLE
  }

  private static Stream<Arguments> resets() {
    return Arrays.stream(Upload.values())
        .flatMap(upload -> Stream.of(arguments(upload, ""), arguments(upload, "part")));
  }

  /** The caller would take a part of the response, or none of its body, for all of it. */
  @ParameterizedTest
  @MethodSource("resets")
  void responseThatIsResetIsLost(Upload upload, String body) throws Exception {
    assertThat(endOfResponse(upload, WITHOUT_LENGTH + body, End.RESET))
        .isEqualTo(Outcome.unknown(RefusalCode.CONNECTION_LOST).toString());
  }

  /** A response that ends with its connection would be lost. */
  @Test
  void responseThatEndsWithTheOutputIsComplete() throws Exception {
    assertThat(endOfResponse(Upload.NONE, WITHOUT_LENGTH + "whole", End.END_OF_OUTPUT))
        .isEqualTo("complete");
  }

  /** Ends a response; returns how the attempt ended. */
  private String endOfResponse(Upload upload, String response, End end) throws Exception {
    try (var server = new EarlyResponseUpstream(id -> response)) {
      var result = new CompletableFuture<String>();
      vertx.runOnContext(
          v -> {
            AttemptStream attempt =
                open(server.address(), upload != Upload.NONE, new EndResult(result));
            switch (upload) {
              case NONE -> {}
              case PART -> attempt.sendBody(Buffer.buffer(new byte[UPLOAD_BYTES / 2]), false);
              case WHOLE -> attempt.sendBody(Buffer.buffer(new byte[UPLOAD_BYTES]), true);
            }
          });
      server.beginResponses();
      while (server.requests() == 0) {
        Thread.sleep(POLL_MILLIS);
      }
      // Nothing shows that the worker has read the response.
      Thread.sleep(RESPONSE_MILLIS);
      server.endResponses(end);

      return result.get(MAX_WAIT.toSeconds(), TimeUnit.SECONDS);
    }
  }

  private AttemptStream open(NetworkAddress address, boolean hasBody, AttemptListener listener) {
    var upstream =
        new UpstreamDefinition(UPSTREAM, ZoneName.of("z"), CellId.of("z.1"), address, 2, 4);
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
            .method(hasBody ? "POST" : "GET")
            .target("/order/k")
            .hasBody(hasBody)
            .headers(hasBody ? UPLOAD_HEADERS : ImmutableListMultimap.of())
            .build();
    AttemptStream attempt = worker.open(1, head, listener);
    vertx.setPeriodic(20, t -> worker.tick());
    return attempt;
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

  /** Completes with the end of an attempt: a complete response, or the outcome. */
  private record EndResult(CompletableFuture<String> value) implements AttemptListener {
    @Override
    public void headReceived(int status, ImmutableListMultimap<String, String> headers) {}

    @Override
    public void bodyReceived(Buffer data, boolean last) {
      if (last) {
        value.complete("complete");
      }
    }

    @Override
    public void creditGranted(int bytes) {}

    @Override
    public void failed(Outcome outcome) {
      value.complete(outcome.toString());
    }
  }
}
