package org.catkinlift.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.ranges.EndedHold;
import org.catkinlift.ranges.GrantReason;
import org.catkinlift.ranges.GrantResult;
import org.catkinlift.ranges.Holder;
import org.catkinlift.ranges.KeyRange;
import org.catkinlift.ranges.RangeAction;
import org.catkinlift.ranges.RangeAssignment;
import org.catkinlift.ranges.RangeMap;
import org.catkinlift.ranges.ReassignmentReason;
import org.junit.jupiter.api.Test;

/** Guards against two holders of a key that the log lines cannot explain. */
final class KeyEventLogTest {
  private static final ServiceName SERVICE = ServiceName.of("desk");
  private static final KeyRange RANGE = new KeyRange(10, 20);

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final EventLog log = EventLog.start("host-1", output);
  private final KeyEventLog keyEvents = new KeyEventLog(log);

  private static Holder holder(String id, long startedMillis) {
    return new Holder(UpstreamId.of(id), startedMillis, NetworkAddress.of("10.0.0.1", 80));
  }

  private String writtenLines() throws InterruptedException {
    log.close();
    return output.toString(StandardCharsets.UTF_8);
  }

  @Test
  void theFirstGrantSaysWhyEachPreviousHolderHasLostTheKeys() throws Exception {
    var previousHolders = ImmutableList.of(holder("u-1", 5), holder("u-2", 6), holder("u-3", 7));
    var assignment = new RangeAssignment(RANGE, holder("u-4", 8), 9, previousHolders);
    var reason =
        new GrantReason.FirstGrant(
            ImmutableList.of(
                new EndedHold(previousHolders.get(0), new EndedHold.Cause.Released()),
                new EndedHold(
                    previousHolders.get(1), new EndedHold.Cause.Expired(Duration.ofMillis(40))),
                new EndedHold(previousHolders.get(2), new EndedHold.Cause.NoKnownHold())));
    keyEvents.grantStarted(
        SERVICE,
        new RangeAction.Grant(1, assignment, Duration.ofSeconds(5), Optional.empty(), reason));

    assertThat(writtenLines())
        .contains(
            "range=10-20 fence=9 upstream=u-4 started=8"
                + " ended=\"u-1@5:released u-2@6:expired_ms_ago=40 u-3@7:no_known_hold\"");
  }

  @Test
  void aReassignmentNamesTheReplacedHolderThatIsNotAskedToRelease() throws Exception {
    var current =
        new RangeMap(
            2,
            ImmutableList.of(new RangeAssignment(RANGE, holder("u-1", 5), 1, ImmutableList.of())));
    var next =
        new RangeMap(
            3,
            ImmutableList.of(new RangeAssignment(RANGE, holder("u-2", 6), 2, ImmutableList.of())));
    var reasons = ImmutableMap.of(2L, ReassignmentReason.BUSY_KEY);
    keyEvents.mapPlanned(SERVICE, current, new RangeAction.WriteMap(next, 1, reasons));

    assertThat(writtenLines())
        .contains("upstream=u-2 started=6 replaced=u-1@5 previous=\"\" reason=busy_key");
  }

  private static RangeAction.Grant grant(GrantReason reason) {
    var assignment = new RangeAssignment(RANGE, holder("u-1", 5), 9, ImmutableList.of());
    return new RangeAction.Grant(1, assignment, Duration.ofSeconds(5), Optional.empty(), reason);
  }

  @Test
  void aFailedCallNamesItsFencingTokenAndTheReason() throws Exception {
    keyEvents.releaseEnded(
        new RangeAction.Release(1, holder("u-1", 5), RANGE, 9),
        new GrantResult.Unanswered("timeout"),
        Duration.ofMillis(30));

    assertThat(writtenLines())
        .contains(
            "call=release upstream=u-1 started=5 range=10-20 fence=9 took_ms=30"
                + " outcome=\"no answer: timeout\"");
  }

  @Test
  void aConfirmedReleaseSaysWhetherTheAnswerHadAHandover() throws Exception {
    keyEvents.releaseEnded(
        new RangeAction.Release(1, holder("u-1", 5), RANGE, 9),
        new GrantResult.Done(Optional.of("h")),
        Duration.ofMillis(30));

    assertThat(writtenLines()).contains("took_ms=30 outcome=\"done with handover\"");
  }

  @Test
  void onlyFailedRenewalsAreLogged() throws Exception {
    RangeAction.Grant renewal = grant(new GrantReason.Renewal());
    keyEvents.grantEnded(renewal, new GrantResult.Done(Optional.empty()), Duration.ofMillis(1));
    keyEvents.grantEnded(renewal, new GrantResult.Outdated(), Duration.ofMillis(2));

    assertThat(writtenLines().lines().count()).isEqualTo(1);
    assertThat(writtenLines()).contains("call=renewal upstream=u-1 started=5 range=10-20 fence=9");
  }

  @Test
  void anAnswerWithoutAHandoverIsLoggedAsAFailedRelease() throws Exception {
    var release = new RangeAction.Release(1, holder("u-1", 5), RANGE, 9);
    keyEvents.releaseEnded(release, new GrantResult.Done(Optional.empty()), Duration.ofMillis(1));
    keyEvents.releaseEnded(release, new GrantResult.HolderEnded(), Duration.ofMillis(1));

    assertThat(writtenLines()).containsMatch("event=3012 .*outcome=done\\n");
    assertThat(writtenLines()).contains("outcome=\"another upstream at the address\"");
  }
}
