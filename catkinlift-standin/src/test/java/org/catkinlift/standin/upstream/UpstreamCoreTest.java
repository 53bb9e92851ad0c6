package org.catkinlift.standin.upstream;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Iterables;
import java.time.Duration;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.control.UpstreamRequest.Reply;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.junit.jupiter.api.Test;

/** Guards the activity record that the audit relies on, and the reported time and load. */
final class UpstreamCoreTest {

  private static final long MILLI = 1_000_000;

  @Test
  void endsOwnershipByTheUpstreamsOwnClock() {
    var fast = new UpstreamClock(5_000, 1.01);
    UpstreamCore core = core(fast);

    core.grant(grant(core, 1, fast.millisAt(0) + 1_010), 0);

    UpstreamActivity.Ownership owned = Iterables.getOnlyElement(core.activity().ownerships());
    assertThat(owned.endNanos()).isEqualTo(1_000 * MILLI);
  }

  @Test
  void mergesRenewalsButNotAGrantAfterAnExpiredOne() {
    UpstreamCore core = core(UpstreamClock.EXACT);

    core.grant(grant(core, 1, 1_000), 0);
    core.grant(grant(core, 2, 1_500), 500 * MILLI);
    core.grant(grant(core, 3, 3_000), 2_000 * MILLI);

    assertThat(core.activity().ownerships())
        .containsExactly(
            new UpstreamActivity.Ownership("order-desk/7", Epoch.of(1, 1), 0, 1_500 * MILLI),
            new UpstreamActivity.Ownership(
                "order-desk/7", Epoch.of(1, 1), 2_000 * MILLI, 3_000 * MILLI));
  }

  @Test
  void restartEndsOwnershipsAndExecutions() {
    UpstreamCore core = core(UpstreamClock.EXACT);
    String first = core.instance();
    core.grant(grant(core, 1, 1_000), 0);
    core.admit(lookup(core), 10 * MILLI);

    core.restart(20 * MILLI);

    assertThat(core.instance()).isNotEqualTo(first);
    assertThat(Iterables.getOnlyElement(core.activity().ownerships()).endNanos())
        .isEqualTo(20 * MILLI);
    assertThat(Iterables.getOnlyElement(core.activity().executions()).endNanos())
        .hasValue(20 * MILLI);
    assertThat(core.probe(20 * MILLI)).isEqualTo(new Reply.Probed(core.instance(), 20, Epoch.NONE));
  }

  @Test
  void reportsItsLoadAsItWasBeforeTheLag() {
    UpstreamCore core = core(UpstreamClock.EXACT);
    core.admit(lookup(core), 10 * MILLI);
    core.admit(lookup(core), 30 * MILLI);

    assertThat(core.load(new LoadReporting.Current(), 30 * MILLI).running()).isEqualTo(2);
    assertThat(core.load(lagging(), 30 * MILLI).running()).isEqualTo(1);
    assertThat(core.load(new LoadReporting.Misleading(9), 30 * MILLI).running()).isEqualTo(9);
  }

  @Test
  void doesNotReportRunningOrderOrUnseenRequestAsEnded() {
    UpstreamCore core = core(UpstreamClock.EXACT);
    var order =
        Work.builder(core.nextNumber()).task(new Task.Order("k")).requestId("order").build();
    core.admit(order, 0);

    core.cancel("order", 0);

    assertThat(core.cancellationStatus("order")).isEqualTo(Cancellation.RUNNING);
    assertThat(core.cancellationStatus("other")).isEqualTo(Cancellation.UNKNOWN);
    core.finish(order.number(), 0);
    assertThat(core.cancellationStatus("order")).isEqualTo(Cancellation.ENDED);
  }

  private static LoadReporting lagging() {
    return new LoadReporting.Lagging(Duration.ofMillis(10));
  }

  private static UpstreamCore core(UpstreamClock clock) {
    return new UpstreamCore(
        UpstreamSettings.builder().id(UpstreamId.of("desk-1")).clock(clock).build(), 0);
  }

  private static Work lookup(UpstreamCore core) {
    return Work.builder(core.nextNumber()).task(new Task.Lookup("k")).requestId("r").build();
  }

  private static UpstreamRequest.Grant grant(UpstreamCore core, long counter, long expiresAt) {
    return new UpstreamRequest.Grant(
        ServiceName.of("order-desk"),
        core.instance(),
        Epoch.of(1, counter),
        expiresAt,
        HostId.of("h1"),
        ImmutableSortedMap.of(7, Epoch.of(1, 1)),
        ImmutableSortedMap.of());
  }
}
