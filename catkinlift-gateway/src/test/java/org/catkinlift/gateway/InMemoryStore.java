package org.catkinlift.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.gateway.store.ObservedVersions;
import org.catkinlift.gateway.store.RowChange;
import org.catkinlift.gateway.store.RowKey;
import org.catkinlift.gateway.store.StoreResult;
import org.catkinlift.gateway.store.StoreUpdate;
import org.catkinlift.gateway.store.StoredRow;
import org.catkinlift.gateway.store.Transaction;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.routes.RouteConfiguration;
import org.catkinlift.upstreams.UpstreamRecord;

/** An in-memory store that is always reachable. */
final class InMemoryStore implements MetadataStore {
  private final EventLoop loop;
  private final Map<RowKey, StoredRow> rows = new HashMap<>();
  private Consumer<StoreUpdate> listener = update -> {};
  private String subscribedTable = "";
  private long version;
  private long era;

  InMemoryStore(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public void subscribe(String table, Consumer<StoreUpdate> updateListener) {
    listener = updateListener;
    subscribedTable = table;
    listener.accept(new StoreUpdate.InitialReadCompleted());
  }

  void emit(StoreUpdate update) {
    loop.execute(() -> listener.accept(update));
  }

  /** Begins a later era, whose versions start anew. */
  void restore() {
    loop.execute(
        () -> {
          era++;
          version = 0;
          listener.accept(new StoreUpdate.EraChanged(era, true));
        });
  }

  /** Writes a row as another daemon. */
  void putRow(RowKey key, String value) {
    loop.execute(() -> put(key, new StoredRow(++version, value)));
  }

  void setConfiguration(RouteConfiguration configuration) {
    emit(new StoreUpdate.ConfigurationChanged(configuration));
  }

  void setUpstreams(UpstreamRecord... upstreams) {
    ImmutableMap.Builder<UpstreamId, UpstreamRecord> byId = ImmutableMap.builder();
    for (UpstreamRecord upstream : upstreams) {
      byId.put(upstream.id(), upstream);
    }
    emit(new StoreUpdate.OutOfServiceZonesChanged(ImmutableSet.of()));
    emit(new StoreUpdate.UpstreamsChanged(byId.buildOrThrow()));
  }

  @Override
  public void read(RowKey key, Consumer<StoreResult<StoredRow>> callback) {
    StoredRow row = rows.getOrDefault(key, StoredRow.MISSING);
    loop.execute(() -> callback.accept(new StoreResult.Done<>(row)));
  }

  @Override
  public void commit(Transaction transaction, Consumer<StoreResult<Long>> callback) {
    boolean versionsMatch =
        transaction.expectedVersions().entrySet().stream()
            .allMatch(
                e -> rows.getOrDefault(e.getKey(), StoredRow.MISSING).version() == e.getValue());
    if (!versionsMatch) {
      loop.execute(() -> callback.accept(new StoreResult.Conflict<>()));
      return;
    }
    version++;
    long written = version;
    transaction.puts().forEach((key, value) -> put(key, new StoredRow(written, value)));
    transaction.removals().forEach(rows::remove);
    loop.execute(() -> callback.accept(new StoreResult.Done<>(written)));
  }

  private void put(RowKey key, StoredRow row) {
    rows.put(key, row);
    if (key.table().equals(subscribedTable)) {
      loop.execute(() -> listener.accept(new StoreUpdate.DaemonRowChanged(key.key(), row)));
    }
  }

  @Override
  public long era() {
    return era;
  }

  @Override
  public ObservedVersions observedVersions() {
    return new ObservedVersions(era, version, version, version);
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
