package org.catkinlift.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.gateway.store.NewsRow;
import org.catkinlift.gateway.store.NewsVersions;
import org.catkinlift.gateway.store.RowKey;
import org.catkinlift.gateway.store.StoreNews;
import org.catkinlift.gateway.store.StoreReply;
import org.catkinlift.gateway.store.StoredRow;
import org.catkinlift.gateway.store.Transaction;
import org.catkinlift.model.UpstreamId;
import org.catkinlift.routes.RouteConfiguration;
import org.catkinlift.upstreams.UpstreamRecord;

/** A store in memory that always answers. */
final class MemoryStore implements MetadataStore {
  private final EventLoop loop;
  private final Map<RowKey, StoredRow> rows = new HashMap<>();
  private Consumer<StoreNews> listener = news -> {};
  private String followed = "";
  private long version;

  MemoryStore(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public void follow(String table, Consumer<StoreNews> newsListener) {
    listener = newsListener;
    followed = table;
    listener.accept(new StoreNews.FirstReadDone());
  }

  void tell(StoreNews news) {
    loop.execute(() -> listener.accept(news));
  }

  void configure(RouteConfiguration configuration) {
    tell(new StoreNews.ConfigurationChanged(configuration));
  }

  void list(UpstreamRecord... upstreams) {
    ImmutableMap.Builder<UpstreamId, UpstreamRecord> all = ImmutableMap.builder();
    for (UpstreamRecord upstream : upstreams) {
      all.put(upstream.id(), upstream);
    }
    tell(new StoreNews.EvacuationsChanged(ImmutableSet.of()));
    tell(new StoreNews.UpstreamsChanged(all.buildOrThrow()));
  }

  @Override
  public void read(RowKey key, Consumer<StoreReply<StoredRow>> done) {
    StoredRow row = rows.getOrDefault(key, StoredRow.MISSING);
    loop.execute(() -> done.accept(new StoreReply.Done<>(row)));
  }

  @Override
  public void commit(Transaction transaction, Consumer<StoreReply<Long>> done) {
    boolean holds =
        transaction.expected().entrySet().stream()
            .allMatch(
                e -> rows.getOrDefault(e.getKey(), StoredRow.MISSING).version() == e.getValue());
    if (!holds) {
      loop.execute(() -> done.accept(new StoreReply.Conflict<>()));
      return;
    }
    version++;
    long written = version;
    transaction.puts().forEach((key, value) -> put(key, new StoredRow(written, value)));
    transaction.removals().forEach(rows::remove);
    loop.execute(() -> done.accept(new StoreReply.Done<>(written)));
  }

  private void put(RowKey key, StoredRow row) {
    rows.put(key, row);
    if (key.table().equals(followed)) {
      loop.execute(() -> listener.accept(new StoreNews.OwnRowChanged(key.key(), row)));
    }
  }

  @Override
  public NewsVersions newsVersions() {
    return new NewsVersions(version, version, version);
  }

  @Override
  public ImmutableList<NewsRow> newsSince(NewsVersions seen) {
    return ImmutableList.of();
  }

  @Override
  public void takeNews(ImmutableList<NewsRow> news, NewsVersions through) {}

  @Override
  public void askForNews(boolean asks) {}

  @Override
  public void peerHasSeen(NewsVersions versions) {}
}
