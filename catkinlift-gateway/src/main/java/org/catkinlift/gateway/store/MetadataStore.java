package org.catkinlift.gateway.store;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;

/**
 * The store of the daemons' durable state, which also contains the configuration of the operators
 * and the list of upstreams.
 *
 * <p>All methods must be called on the control thread; results and updates are delivered there.
 */
public interface MetadataStore {

  /**
   * Subscribes to the rows of operators and upstreams and to a table of the daemons.
   *
   * @param table the table of the daemons
   * @param listener receives the updates
   */
  void subscribe(String table, Consumer<StoreUpdate> listener);

  /**
   * Reads a row.
   *
   * @param key the key of the row
   * @param callback receives the row, or {@link StoredRow#MISSING} if it does not exist
   */
  void read(RowKey key, Consumer<StoreResult<StoredRow>> callback);

  /**
   * Commits a transaction.
   *
   * @param transaction the expected versions and the changes
   * @param callback receives the version of the committed transaction
   */
  void commit(Transaction transaction, Consumer<StoreResult<Long>> callback);

  /**
   * Returns the highest era of the store that this daemon has seen, which rises with each restore
   * of the store from an older copy; 0 if the store states none.
   *
   * @return the era
   */
  long era();

  /**
   * Returns the newest version that this daemon has observed of each source; those of era 0 while
   * the tables of a later era are being read.
   *
   * @return the versions
   */
  ObservedVersions observedVersions();

  /**
   * Returns the rows that changed after the versions that another daemon has observed; none if
   * these are of another era.
   *
   * @param observed the versions that the other daemon has observed
   * @return the changes
   */
  ImmutableList<RowChange> changesSince(ObservedVersions observed);

  /**
   * Applies changes that another daemon has relayed. Those of another era are ignored.
   *
   * @param changes all rows that changed after the versions that this daemon had reported
   * @param observed the versions that this daemon has observed once the changes are applied
   */
  void applyChanges(ImmutableList<RowChange> changes, ObservedVersions observed);

  /**
   * Sets whether this daemon polls the store for changes, or relies on changes that are relayed.
   *
   * @param enabled whether to poll
   */
  void setPollingEnabled(boolean enabled);

  /**
   * Repeats the polls that are waiting, because the store is in contact again after an outage.
   * Polls that wait for a retry would start late, and responses to earlier ones may be lost.
   */
  void restartPolling();

  /**
   * Records the versions that another daemon has observed. If this daemon stays behind, it polls
   * the store again on a new connection. A later era counts like one that the store has stated.
   *
   * @param versions the other daemon's versions
   */
  void peerVersionsReceived(ObservedVersions versions);
}
