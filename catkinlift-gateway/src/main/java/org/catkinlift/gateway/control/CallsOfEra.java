package org.catkinlift.gateway.control;

import java.util.function.Consumer;
import org.catkinlift.gateway.store.MetadataStore;
import org.catkinlift.gateway.store.StoreResult;

/** Discards results of store calls that were sent before a restore of the store. */
final class CallsOfEra {
  private CallsOfEra() {}

  /**
   * Returns a handler that drops a result if the store's era has changed since this call.
   *
   * @param store the store
   * @param handler receives the results of the present era
   */
  static <T> Consumer<StoreResult<T>> inPresentEra(
      MetadataStore store, Consumer<StoreResult<T>> handler) {
    long era = store.era();
    return result -> {
      if (store.era() == era) {
        handler.accept(result);
      }
    };
  }
}
