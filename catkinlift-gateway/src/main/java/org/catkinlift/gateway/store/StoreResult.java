package org.catkinlift.gateway.store;

/**
 * The result of a call to the store.
 *
 * @param <T> the type of the value of a successful call
 */
public sealed interface StoreResult<T> {

  /**
   * The call succeeded.
   *
   * @param <T> the type of the value
   * @param value the value
   */
  record Done<T>(T value) implements StoreResult<T> {}

  /**
   * A row had a different version than the transaction expected; nothing was changed.
   *
   * @param <T> the type of the value of a successful call
   */
  record Conflict<T>() implements StoreResult<T> {}

  /**
   * The store refused the call; nothing was changed.
   *
   * @param <T> the type of the value of a successful call
   * @param reason the cause of the failure
   */
  record Refused<T>(String reason) implements StoreResult<T> {}

  /**
   * There was no response; a transaction may have been committed or may still be committed.
   *
   * @param <T> the type of the value of a successful call
   * @param reason the cause of the failure
   */
  record Unknown<T>(String reason) implements StoreResult<T> {}
}
