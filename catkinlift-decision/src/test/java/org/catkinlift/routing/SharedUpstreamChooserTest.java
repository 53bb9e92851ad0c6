package org.catkinlift.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.SplittableRandom;
import org.catkinlift.model.CellId;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.UpstreamDefinition;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.junit.jupiter.api.Test;

final class SharedUpstreamChooserTest {
  private static final UpstreamDefinition A = upstream("a");
  private static final UpstreamDefinition B = upstream("b");
  private static final ImmutableList<UpstreamDefinition> BOTH = ImmutableList.of(A, B);
  private static final long MILLI = Duration.ofMillis(1).toNanos();

  private final SharedUpstreamChooser chooser = new SharedUpstreamChooser(new SplittableRandom(1));

  @Test
  void avoidsUpstreamWithMoreRequestsInFlight() {
    chooser.started(A.id(), 0);
    assertThat(chooser.choose(BOTH, MILLI)).isEqualTo(B);
  }

  @Test
  void avoidsUpstreamThatAnswersSlowlyAndTriesItAgainLater() {
    answer(A, Duration.ofMillis(200), 200 * MILLI);
    answer(B, Duration.ofMillis(10), 200 * MILLI);
    assertThat(chooser.choose(BOTH, 201 * MILLI)).isEqualTo(B);
    chooser.started(B.id(), 30_000 * MILLI);
    assertThat(chooser.choose(BOTH, 30_001 * MILLI)).isEqualTo(A);
  }

  @Test
  void avoidsUpstreamThatHasNotAnsweredForLong() {
    chooser.started(A.id(), 0);
    chooser.started(B.id(), 500 * MILLI);
    chooser.started(B.id(), 500 * MILLI);
    assertThat(chooser.choose(BOTH, 501 * MILLI)).isEqualTo(B);
  }

  @Test
  void avoidsUpstreamWithRecentFailures() {
    chooser.started(A.id(), 0);
    chooser.finished(
        A.id(), Duration.ZERO, Outcome.notRun(RefusalCode.UPSTREAM_SHED, Duration.ZERO), MILLI);
    assertThat(chooser.choose(BOTH, MILLI)).isEqualTo(B);
  }

  @Test
  void cancelledRequestIsNoLongerInFlight() {
    chooser.started(A.id(), 0);
    chooser.cancelled(A.id());
    assertThat(chooser.inFlight(A.id())).isEqualTo(0);
  }

  private void answer(UpstreamDefinition upstream, Duration latency, long nowNanos) {
    chooser.started(upstream.id(), nowNanos - latency.toNanos());
    chooser.finished(upstream.id(), latency, new Outcome.Answered(), nowNanos);
  }

  private static UpstreamDefinition upstream(String name) {
    return new UpstreamDefinition(
        UpstreamId.of(name),
        ZoneName.of("suva"),
        CellId.of("cell"),
        NetworkAddress.of("127.0.0.1", 8080),
        4,
        130);
  }
}
