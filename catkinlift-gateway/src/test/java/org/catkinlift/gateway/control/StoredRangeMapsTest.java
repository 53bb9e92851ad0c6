package org.catkinlift.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.OutputStream;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.store.RowKey;
import org.catkinlift.gateway.store.StoredRow;
import org.catkinlift.model.ServiceName;
import org.catkinlift.ranges.RangeMap;
import org.junit.jupiter.api.Test;

/** Guards against a range map that goes back after a restore of the store. */
final class StoredRangeMapsTest {
  private static final ServiceName SERVICE = ServiceName.of("desk");

  private final StoredRangeMaps maps =
      new StoredRangeMaps(EventLog.start("host-1", OutputStream.nullOutputStream()));

  /** Applies a map that is told apart by its next token. */
  private void apply(long era, long version, long token, long storeEra) {
    String value = RangeMapCodec.encode(new RangeMap(token, ImmutableList.of()));
    maps.apply(new DaemonRows.MapKey(era, SERVICE), new StoredRow(version, value), storeEra);
  }

  private long newestToken() {
    return maps.newest(SERVICE).nextFence();
  }

  @Test
  void laterVersionOfTheSameEraIsApplied() {
    apply(0, 5, 50, 0);
    apply(0, 4, 40, 0);
    assertThat(newestToken()).isEqualTo(50);
    apply(0, 6, 60, 0);
    assertThat(newestToken()).isEqualTo(60);
  }

  @Test
  void laterEraIsAppliedDespiteItsLowerVersion() {
    apply(0, 500, 50, 0);
    apply(1, 3, 70, 1);
    assertThat(newestToken()).isEqualTo(70);
    apply(0, 600, 60, 1);
    assertThat(newestToken()).isEqualTo(70);
  }

  /** A late write of an earlier era may get a version that is issued again. */
  @Test
  void writeOfAnEarlierEraDoesNotReplaceAKnownMap() {
    apply(0, 500, 50, 0);
    apply(0, 501, 51, 1);
    assertThat(newestToken()).isEqualTo(50);
  }

  /** A daemon that starts before the first map of the era routes by the last one of before. */
  @Test
  void mapOfAnEarlierEraCountsWhileNoneIsKnown() {
    apply(1, 500, 50, 2);
    assertThat(newestToken()).isEqualTo(50);
  }

  @Test
  void keysOfRowsCarryTheEra() {
    assertThat(DaemonRows.map(0, SERVICE)).isEqualTo(new RowKey("catkinlift", "ranges-desk"));
    assertThat(DaemonRows.lease(0)).isEqualTo(new RowKey("catkinlift-role", "coordinator"));
    assertThat(DaemonRows.claim(0)).isEqualTo(new RowKey("catkinlift-role", "claim"));
    for (long era : new long[] {0, 1, 42}) {
      assertThat(DaemonRows.parseMapKey(DaemonRows.map(era, SERVICE).key()))
          .hasValue(new DaemonRows.MapKey(era, SERVICE));
    }
    for (String key : ImmutableList.of("", "ranges-", "era-ranges-desk", "era0-ranges-desk")) {
      assertThat(DaemonRows.parseMapKey(key)).isEmpty();
    }
  }
}
