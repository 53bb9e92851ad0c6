package org.catkinlift.standin.load;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.OptionalLong;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.standin.upstream.Task;
import org.catkinlift.standin.upstream.UpstreamActivity;
import org.catkinlift.standin.upstream.Work;
import org.junit.jupiter.api.Test;

/** Guards against an audit that fails to detect violations. */
final class RecordAuditTest {

  private static final Task ORDER = new Task.Order("k");
  private static final Task LOOKUP = new Task.Lookup("k");

  @Test
  void findsAnOrderThatRanOnTwoUpstreamsOrTwiceOnOne() {
    assertThat(audit(ran("u1", ORDER, "a"), ran("u2", ORDER, "a")).ordersRunTwice()).isEqualTo(1);
    assertThat(audit(ran("u1", ORDER, "a", "a", "b")).ordersRunTwice()).isEqualTo(1);
    assertThat(audit(ran("u1", ORDER, "a"), ran("u2", ORDER, "b")).isClean()).isTrue();
    assertThat(audit(ran("u1", LOOKUP, "a"), ran("u2", LOOKUP, "a")).isClean()).isTrue();
  }

  @Test
  void findsARequestThatRanButWasReportedAsNotRun() {
    assertThat(audit(ran("u1", LOOKUP, "refused")).notRunButRan()).isEqualTo(1);
  }

  @Test
  void findsTwoOwnersOfOneSlotAtOneInstant() {
    assertThat(audit(owned("u1", "s/1", 0, 10), owned("u2", "s/1", 9, 20)).ownerConflicts())
        .isEqualTo(1);
    assertThat(audit(owned("u1", "s/1", 0, 100), owned("u2", "s/1", 9, 20)).ownerConflicts())
        .isEqualTo(1);
    assertThat(audit(owned("u1", "s/1", 0, 10), owned("u2", "s/1", 10, 20)).isClean()).isTrue();
    assertThat(audit(owned("u1", "s/1", 0, 10), owned("u2", "s/2", 0, 10)).isClean()).isTrue();
    assertThat(audit(owned("u1", "s/1", 0, 10), owned("u1", "s/1", 5, 10)).isClean()).isTrue();
  }

  private static AuditReport audit(UpstreamActivity... records) {
    return RecordAudit.compare(ImmutableSet.of("refused"), ImmutableList.copyOf(records));
  }

  private static UpstreamActivity ran(String upstream, Task task, String... ids) {
    var executions = ImmutableList.<UpstreamActivity.Execution>builder();
    for (String id : ids) {
      Work work = Work.builder(1).task(task).requestId(id).build();
      executions.add(new UpstreamActivity.Execution(work, "i", 0, OptionalLong.of(1)));
    }
    return new UpstreamActivity(UpstreamId.of(upstream), executions.build(), ImmutableList.of());
  }

  private static UpstreamActivity owned(String upstream, String subject, long start, long end) {
    return new UpstreamActivity(
        UpstreamId.of(upstream),
        ImmutableList.of(),
        ImmutableList.of(new UpstreamActivity.Ownership(subject, Epoch.of(1, 1), start, end)));
  }
}
