package org.catkinlift.standin.upstream;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import org.catkinlift.control.UpstreamRequest;
import org.catkinlift.model.Epoch;
import org.catkinlift.model.HostId;
import org.catkinlift.model.ServiceName;
import org.junit.jupiter.api.Test;

/** Guards against requests that still run for a former dispatcher or a second owner. */
final class GrantTableTest {

  private static final ServiceName DESK = ServiceName.of("order-desk");
  private static final Epoch EPOCH = Epoch.of(2, 5);
  private static final GrantTable TABLE =
      GrantTable.EMPTY.with(grant("i1", Epoch.of(2, 1)), "i1").orElseThrow();

  @Test
  void refusesAGrantForAnEarlierInstanceOrWithALowerSequence() {
    assertThat(TABLE.with(grant("i0", Epoch.of(2, 2)), "i1")).isEmpty();
    assertThat(TABLE.with(grant("i1", Epoch.of(1, 9)), "i1")).isEmpty();
    assertThat(TABLE.with(grant("i1", Epoch.of(2, 2)), "i1")).isPresent();
  }

  @Test
  void refusesADelayedGrantAfterARelease() {
    GrantTable released = TABLE.without(release(Epoch.of(2, 3))).orElseThrow();

    assertThat(released.with(grant("i1", Epoch.of(2, 2)), "i1")).isEmpty();
    assertThat(released.covers(work("h1", 7, EPOCH, "k"), 0)).isFalse();
  }

  @Test
  void coversOnlyTheGrantedEpochAndDispatcherUntilTheGrantExpires() {
    assertThat(TABLE.covers(work("h1", 7, EPOCH, "k"), 999)).isTrue();
    assertThat(TABLE.covers(work("h1", 7, EPOCH, "k"), 1000)).isFalse();
    assertThat(TABLE.covers(work("h2", 7, EPOCH, "k"), 0)).isFalse();
    assertThat(TABLE.covers(work("h1", 7, Epoch.of(2, 4), "k"), 0)).isFalse();
    assertThat(TABLE.covers(work("h1", 8, EPOCH, "k"), 0)).isFalse();
  }

  @Test
  void usesTheEpochOfTheOverrideForAnOverriddenKey() {
    assertThat(TABLE.covers(work("h1", 7, Epoch.of(2, 6), "hot"), 0)).isTrue();
    assertThat(TABLE.covers(work("h1", 7, EPOCH, "hot"), 0)).isFalse();
  }

  private static UpstreamRequest.Grant grant(String instance, Epoch sequence) {
    return new UpstreamRequest.Grant(
        DESK,
        instance,
        sequence,
        1000,
        HostId.of("h1"),
        ImmutableSortedMap.of(7, EPOCH),
        ImmutableSortedMap.of("hot", Epoch.of(2, 6)));
  }

  private static UpstreamRequest.Release release(Epoch sequence) {
    return new UpstreamRequest.Release(
        DESK, sequence, ImmutableSortedSet.of(7), ImmutableSortedSet.of());
  }

  private static Work work(String dispatcher, int slot, Epoch epoch, String key) {
    return Work.builder(1)
        .task(new Task.Lookup(key))
        .dispatcher(dispatcher)
        .slot(slot)
        .epoch(epoch)
        .requiresGrant(true)
        .build();
  }
}
