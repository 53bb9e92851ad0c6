package org.catkinlift.gateway.store;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;

/**
 * The store that keeps the daemon's durable state and tells what operators and upstreams state.
 *
 * <p>All calls are made on the control thread, and all results and news arrive there.
 */
public interface MetadataStore {

  /**
   * Begins to follow operators, upstreams and a table of the daemon's own.
   *
   * @param table the table to follow
   * @param listener takes the news
   */
  void follow(String table, Consumer<StoreNews> listener);

  /**
   * Reads a row.
   *
   * @param key the row
   * @param done takes the row; a row that does not exist has version 0
   */
  void read(RowKey key, Consumer<StoreReply<StoredRow>> done);

  /**
   * Carries out a transaction.
   *
   * @param transaction the changes
   * @param done takes the version of the transaction
   */
  void commit(Transaction transaction, Consumer<StoreReply<Long>> done);

  /**
   * Returns the version up to which this daemon has seen the news of each source.
   *
   * @return the versions
   */
  NewsVersions newsVersions();

  /**
   * Returns the news that another daemon has not seen.
   *
   * @param seen up to which version it has seen the news
   * @return the rows that changed since
   */
  ImmutableList<NewsRow> newsSince(NewsVersions seen);

  /**
   * Takes news from another daemon.
   *
   * @param rows all rows that changed since the versions that this daemon has stated
   * @param through the versions up to which this daemon has seen the news with them
   */
  void takeNews(ImmutableList<NewsRow> rows, NewsVersions through);

  /**
   * Sets whether this daemon asks the store for news itself, or leaves that to others.
   *
   * @param asks whether it asks
   */
  void askForNews(boolean asks);

  /**
   * Takes up to which version another daemon has seen the news. If this daemon stays behind, it
   * asks the store again on a new connection.
   *
   * @param versions the other daemon's versions
   */
  void peerHasSeen(NewsVersions versions);
}
