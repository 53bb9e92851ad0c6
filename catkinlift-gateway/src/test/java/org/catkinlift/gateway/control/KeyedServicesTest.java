package org.catkinlift.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.catkinlift.gateway.logging.EventLog;
import org.catkinlift.gateway.store.KeyGrants;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.gateway.store.ObservedVersions;
import org.catkinlift.gateway.store.RowChange;
import org.catkinlift.gateway.store.RowKey;
import org.catkinlift.gateway.store.StoreResult;
import org.catkinlift.gateway.store.StoreUpdate;
import org.catkinlift.gateway.store.StoredRow;
import org.catkinlift.gateway.store.Transaction;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.model.ServiceName;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.model.ZoneName;
import org.catkinlift.ranges.CoordinatorLease;
import org.catkinlift.ranges.FencingTokens;
import org.catkinlift.ranges.GrantResult;
import org.catkinlift.ranges.RangeAction;
import org.catkinlift.routes.CallerLimits;
import org.catkinlift.routes.RouteConfiguration;
import org.catkinlift.routes.ServiceProfile;
import org.catkinlift.upstreams.UpstreamDirectory;
import org.catkinlift.upstreams.UpstreamRecord;
import org.catkinlift.upstreams.UpstreamStatus;
import org.junit.jupiter.api.Test;

/** Tests the calls that a coordinator has handed over before it loses its role. */
final class KeyedServicesTest {
  private static final ServiceName SERVICE = ServiceName.of("desk");
  private static final long CLAIM_VERSION = 1;
  private static final int HOST_COUNT = 1;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(600);
  private static final int TICKS_TO_FIRST_GRANT = 4;

  private static final RouteConfiguration CONFIGURATION =
      new RouteConfiguration(
          1,
          CallerLimits.DEFAULT,
          ImmutableList.of(),
          ImmutableMap.of(
              SERVICE, new ServiceProfile(SERVICE, "/health", 100, 10, true, Duration.ZERO)));

  private static final ImmutableList<UpstreamDirectory.Entry> UPSTREAMS =
      ImmutableList.of(
          new UpstreamDirectory.Entry(
              UpstreamRecord.builder()
                  .id(UpstreamId.of("u-1"))
                  .startedMillis(1)
                  .service(SERVICE)
                  .address(NetworkAddress.of("10.0.0.1", 80))
                  .zone(ZoneName.of("z"))
                  .concurrencyLimit(4)
                  .build(),
              new UpstreamStatus.InService()));

  /** The term of a coordinator, the delivery of its last call, and the longest grant. */
  private static final Duration GRANTS_OF_EARLIER_ERA =
      CoordinatorLease.TERM
          .plus(RangeAction.MAX_DELIVERY_DELAY)
          .plus(Duration.ofSeconds(10).multipliedBy(103).dividedBy(100));

  private final WaitingKeyGrants grants = new WaitingKeyGrants();
  private final SynchronousStore store = new SynchronousStore();
  private final KeyedServices services =
      new KeyedServices(
          store,
          grants,
          EventLog.start("host-1", new ByteArrayOutputStream()),
          () -> true,
          Duration.ofSeconds(10),
          new StoredRangeMaps(EventLog.start("host-1", new ByteArrayOutputStream())),
          service -> {});
  private long nowNanos = System.nanoTime();

  /** Key grants that are not sent yet, because their connections are not established. */
  private static final class WaitingKeyGrants implements KeyGrants {
    private final List<BooleanSupplier> sendConditions = new ArrayList<>();
    private final List<Long> fences = new ArrayList<>();

    @Override
    public void grant(
        RangeAction.Grant grant, BooleanSupplier roleHeld, Consumer<GrantResult> callback) {
      sendConditions.add(roleHeld);
      fences.add(grant.assignment().fence());
    }

    @Override
    public void release(
        RangeAction.Release release, BooleanSupplier roleHeld, Consumer<GrantResult> callback) {}
  }

  /** A store that answers each call at once. */
  private static final class SynchronousStore implements MetadataStore {
    private final Map<RowKey, StoredRow> rows = new HashMap<>();
    private long version;
    private long era;

    @Override
    public void subscribe(String table, Consumer<StoreUpdate> listener) {}

    @Override
    public void read(RowKey key, Consumer<StoreResult<StoredRow>> callback) {
      callback.accept(new StoreResult.Done<>(rows.getOrDefault(key, StoredRow.MISSING)));
    }

    @Override
    public void commit(Transaction transaction, Consumer<StoreResult<Long>> callback) {
      version++;
      transaction.puts().forEach((key, value) -> rows.put(key, new StoredRow(version, value)));
      callback.accept(new StoreResult.Done<>(version));
    }

    @Override
    public long era() {
      return era;
    }

    @Override
    public ObservedVersions observedVersions() {
      return new ObservedVersions(version, version, version);
    }

    @Override
    public ImmutableList<RowChange> changesSince(ObservedVersions observed) {
      return ImmutableList.of();
    }

    @Override
    public void applyChanges(ImmutableList<RowChange> changes, ObservedVersions observed) {}

    @Override
    public void setPollingEnabled(boolean enabled) {}

    @Override
    public void restartPolling() {}

    @Override
    public void peerVersionsReceived(ObservedVersions versions) {}
  }

  private void tick() {
    nowNanos += TICK_INTERVAL.toNanos();
    services.tick(CONFIGURATION, UPSTREAMS, HOST_COUNT, CLAIM_VERSION, nowNanos);
  }

  private BooleanSupplier conditionOfFirstGrant() {
    for (int i = 0; i < TICKS_TO_FIRST_GRANT && grants.sendConditions.isEmpty(); i++) {
      tick();
    }
    return grants.sendConditions.getFirst();
  }

  @Test
  void waitingGrantMayBeSentInTheTermThatDecidedIt() {
    assertThat(conditionOfFirstGrant().getAsBoolean()).isTrue();
  }

  /** The coordinator of the later term has given the key to another upstream, or will do so. */
  @Test
  void waitingGrantIsNotSentInALaterTermOfTheSameProcess() {
    BooleanSupplier condition = conditionOfFirstGrant();
    services.stop();
    tick();

    assertThat(condition.getAsBoolean()).isFalse();
  }

  /** Two upstreams would hold the keys that moved after the last map that is known. */
  @Test
  void nothingIsGrantedUntilAllGrantsOfAnEarlierEraHaveEnded() {
    store.era = 2;
    services.eraSeen(nowNanos);
    services.earlierEraFound();
    long seenNanos = nowNanos;
    while (grants.fences.isEmpty()) {
      tick();
      assertThat(nowNanos - seenNanos).isLessThan(2 * GRANTS_OF_EARLIER_ERA.toNanos());
    }

    assertThat(nowNanos - seenNanos).isAtLeast(GRANTS_OF_EARLIER_ERA.toNanos());
    assertThat(grants.fences.getFirst()).isAtLeast(FencingTokens.firstOf(2));
    assertThat(store.rows.keySet()).containsExactly(DaemonRows.map(2, SERVICE));
  }

  /** A store whose first era is above 0 has lost nothing. */
  @Test
  void keysAreGrantedAtOnceInTheFirstEra() {
    store.era = 1;
    services.eraSeen(nowNanos);
    BooleanSupplier unused = conditionOfFirstGrant();

    assertThat(grants.fences.getFirst()).isAtLeast(FencingTokens.firstOf(1));
  }

  @Test
  void keysAndTokensWithoutAnEraAreUnchanged() {
    BooleanSupplier unused = conditionOfFirstGrant();

    assertThat(grants.fences.getFirst()).isEqualTo(1);
    assertThat(store.rows.keySet()).containsExactly(new RowKey("catkinlift", "ranges-" + SERVICE));
  }

  /** The map and the grants of a coordinator whose role lasted until the restore are complete. */
  @Test
  void coordinatorThatContinuesWritesItsMapInTheNewEra() {
    BooleanSupplier waiting = conditionOfFirstGrant();
    store.era = 1;
    services.eraSeen(nowNanos);
    services.earlierEraFound();
    services.continueInPresentEra(nowNanos);
    tick();

    assertThat(store.rows.keySet()).contains(DaemonRows.map(1, SERVICE));
    assertThat(waiting.getAsBoolean()).isTrue();
  }
}
