package org.catkinlift.daemon.platform;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.catkinlift.control.PlatformRequest;
import org.catkinlift.control.PlatformRequest.Reply;
import org.catkinlift.control.RowValue;
import org.catkinlift.model.CellId;
import org.catkinlift.model.Configuration;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.HostId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ZoneName;
import org.catkinlift.standin.platform.HostList;
import org.catkinlift.standin.platform.PlatformFaults;
import org.catkinlift.standin.platform.PlatformStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a failed call that is reported as a reply, and the reverse. */
final class HttpPlatformTest {

  private static final String ROW = "assignment/order-desk/suva";
  private static final RowValue VALUE = new RowValue.ConfigurationRow(Configuration.EMPTY);

  /** Long enough that no response times out even on a heavily loaded machine. */
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);

  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration STALL_DELAY = Duration.ofHours(1);

  private final Vertx vertx = Vertx.vertx();
  private PlatformStandin standin;
  private HttpPlatform platform;

  @BeforeEach
  void start() throws Exception {
    standin = await(PlatformStandin.start(vertx, "127.0.0.1", 0));
    platform = HttpPlatform.create(vertx, standin.address(), LONG_TIMEOUT);
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
    await(standin.stop());
    await(vertx.close());
  }

  @Test
  void writesAndReadsRowsWhoseNamesHoldSlashes() throws Exception {
    assertThat(call(write("r1", 0))).isEqualTo(new Reply.Applied());

    assertThat(call(new PlatformRequest.ReadRows(ROW)))
        .isEqualTo(rows(new PlatformRequest.Row(ROW, 1, "r1", VALUE)));
    assertThat(call(new PlatformRequest.ReadRows("home/"))).isEqualTo(rows());
  }

  @Test
  void reportsTheRowThatAConditionFailedOn() throws Exception {
    call(write("r1", 0));

    assertThat(call(write("r2", 0)))
        .isEqualTo(
            new Reply.Conflict(ImmutableList.of(new PlatformRequest.Row(ROW, 1, "r1", VALUE))));
  }

  @Test
  void resolvesALostAnswerByTheRequestId() throws Exception {
    standin.setFaults(PlatformFaults.builder().loseNext(1).build());

    assertThat(call(write("r1", 0))).isEqualTo(new Reply.NoAnswer());
    var read = (Reply.Rows) call(new PlatformRequest.ReadRows(ROW));

    assertThat(Iterables.getOnlyElement(read.rows()).requestId()).isEqualTo("r1");
  }

  @Test
  void writesNothingDuringAnOutage() throws Exception {
    standin.setFaults(PlatformFaults.builder().outage(true).build());
    assertThat(call(write("r1", 0))).isEqualTo(new Reply.NoAnswer());
    assertThat(call(new PlatformRequest.ReadHosts())).isEqualTo(new Reply.NoAnswer());

    standin.setFaults(PlatformFaults.NONE);
    assertThat(call(new PlatformRequest.ReadRows(""))).isEqualTo(rows());
  }

  @Test
  @Timeout(60)
  void treatsASlowOrStoppedPlatformAsNoAnswer() throws Exception {
    var shortTimeoutPlatform = HttpPlatform.create(vertx, standin.address(), SHORT_TIMEOUT);
    standin.setFaults(PlatformFaults.builder().delay(STALL_DELAY).build());
    do {
      assertThat(await(shortTimeoutPlatform.call(write("r1", 0)))).isEqualTo(new Reply.NoAnswer());
    } while (standin.table().row(ROW).isEmpty());
    await(standin.stop());

    assertThat(await(shortTimeoutPlatform.call(write("r2", 0)))).isEqualTo(new Reply.NoAnswer());
    shortTimeoutPlatform.close();
  }

  @Test
  void readsTheHosts() throws Exception {
    var host =
        new HostDefinition(
            HostId.of("suva-1"),
            ZoneName.of("suva"),
            CellId.of("suva"),
            NetworkAddress.of("127.0.0.1", 7001));
    standin.setHosts(new HostList(ImmutableList.of(host), ImmutableList.of(HostId.of("suva-2"))));

    assertThat(call(new PlatformRequest.ReadHosts()))
        .isEqualTo(new Reply.Hosts(ImmutableList.of(host), ImmutableList.of(HostId.of("suva-2"))));
  }

  @Test
  void failsOnAnUnreadableRow() throws Exception {
    standin.putRow(ROW, "{\"kind\":\"other\"}");

    Future<Reply> reply = platform.call(new PlatformRequest.ReadRows(ROW));

    var failure = await(reply.map(r -> (Throwable) null).otherwise(e -> e));
    assertThat(((PlatformException) failure).code()).isEqualTo(PlatformException.Code.UNKNOWN_KIND);
  }

  private Reply call(PlatformRequest request) throws Exception {
    return await(platform.call(request));
  }

  private static PlatformRequest write(String id, long version) {
    return new PlatformRequest.Transact(
        id, ImmutableMap.of(ROW, version), ImmutableMap.of(ROW, VALUE));
  }

  private static Reply.Rows rows(PlatformRequest.Row... rows) {
    return new Reply.Rows(ImmutableList.copyOf(rows));
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(60, TimeUnit.SECONDS);
  }
}
