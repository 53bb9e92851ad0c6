package org.catkinlift.standin.load;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.standin.upstream.UpstreamActivity;
import org.catkinlift.standin.upstream.UpstreamSettings;
import org.catkinlift.standin.upstream.UpstreamStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that are lost, counted twice or not reproducible from the seed. */
final class LoadGeneratorTest {

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void stop() throws Exception {
    await(vertx.close());
  }

  @Test
  void countsEachRequestOnceAndAgreesWithTheRecords() throws Exception {
    UpstreamStandin keyed = await(start("desk-1"));
    UpstreamStandin shared = await(start("proof-1"));

    LoadReport report = await(LoadGenerator.run(vertx, settings(keyed, shared)));

    ImmutableList<UpstreamActivity> records =
        ImmutableList.of(await(keyed.activity()), await(shared.activity()));
    long executions = records.stream().mapToLong(r -> r.executions().size()).sum();
    assertThat(report.counts().requests()).isEqualTo(planned(settings(keyed, shared)));
    assertThat(executions).isEqualTo(report.counts().answered());
    assertThat(report.counts().wrongAnswers()).isEqualTo(0);
    assertThat(records.get(1).executions()).isNotEmpty();
    assertThat(RecordAudit.compare(report.refusedIds(), records).isClean()).isTrue();
  }

  @Test
  void countsWhatAnUpstreamShedsAsNotRun() throws Exception {
    UpstreamStandin keyed = await(start("desk-1"));
    await(keyed.setDraining(true));
    UpstreamStandin shared = await(start("proof-1"));

    LoadReport report = await(LoadGenerator.run(vertx, settings(keyed, shared)));

    assertThat(report.counts().refusedNotRun()).isGreaterThan(0L);
    assertThat(await(keyed.activity()).executions()).isEmpty();
    assertThat(report.refusedIds()).hasSize((int) report.counts().refusedNotRun());
  }

  @Test
  void generatesTheSameRequestsFromTheSameSeed() {
    assertThat(firstRequests(7)).isEqualTo(firstRequests(7));
    assertThat(firstRequests(7)).isNotEqualTo(firstRequests(8));
  }

  private static ImmutableList<PlannedRequest> firstRequests(long seed) {
    var targets = new Targets.Direct(ImmutableList.of(), ImmutableList.of());
    var plan = new RequestPlan(LoadSettings.builder().seed(seed).targets(targets).build());
    return Stream.generate(plan::next).limit(100).collect(toImmutableList());
  }

  private static long planned(LoadSettings settings) {
    var plan = new RequestPlan(settings);
    return Stream.generate(plan::next)
        .takeWhile(r -> r.offset().compareTo(settings.duration()) < 0)
        .count();
  }

  private static LoadSettings settings(UpstreamStandin keyed, UpstreamStandin shared) {
    return LoadSettings.builder()
        .targets(
            new Targets.Direct(
                ImmutableList.of(keyed.directAddress()), ImmutableList.of(shared.directAddress())))
        .ratePerSecond(300)
        .duration(Duration.ofMillis(500))
        .deadline(Duration.ofSeconds(10))
        .downloadBytes(100_000)
        .build();
  }

  private Future<UpstreamStandin> start(String id) {
    var settings = UpstreamSettings.builder().id(UpstreamId.of(id)).queueLimit(1_000).build();
    return UpstreamStandin.start(vertx, settings, "127.0.0.1", 0);
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
  }
}
