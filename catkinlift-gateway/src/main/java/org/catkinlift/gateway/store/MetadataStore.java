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
  void subscribe(String table, Consumer<StoreUpdate> listener);

  /**
   * Reads a row.
   *
   * @param key the row
   * @param callback takes the row; a row that does not exist has version 0
   */
  void read(RowKey key, Consumer<StoreResult<StoredRow>> callback);

  /**
   * Carries out a transaction.
   *
   * @param transaction the changes
   * @param callback takes the version of the transaction
   */
  void commit(Transaction transaction, Consumer<StoreResult<Long>> callback);

  /**
   * Returns the version up to which this daemon has seen the news of each source.
   *
   * @return the versions
   */
  ObservedVersions observedVersions();

  /**
   * Returns the news that another daemon has not seen.
   *
   * @param observed up to which version it has seen the news
   * @return the rows that changed since
   */
  ImmutableList<RowChange> changesSince(ObservedVersions observed);

  /**
   * Takes news from another daemon.
   *
   * @param changes all rows that changed since the versions that this daemon has stated
   * @param observed the versions up to which this daemon has seen the news with them
   */
  void applyChanges(ImmutableList<RowChange> changes, ObservedVersions observed);

  /**
   * Sets whether this daemon asks the store for news itself, or leaves that to others.
   *
   * @param enabled whether it asks
   */
  void setPollingEnabled(boolean enabled);

  /**
   * Takes up to which version another daemon has seen the news. If this daemon stays behind, it
   * asks the store again on a new connection.
   *
   * @param versions the other daemon's versions
   */
  void peerVersionsReceived(ObservedVersions versions);
}
