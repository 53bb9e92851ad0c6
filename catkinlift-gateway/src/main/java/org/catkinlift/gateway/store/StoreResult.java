package org.catkinlift.gateway.store;

/**
 * How a call to the store ended.
 *
 * @param <T> the value of a successful call
 */
public sealed interface StoreResult<T> {

  /**
   * The store did what it was asked.
   *
   * @param <T> the value
   * @param value the value
   */
  record Done<T>(T value) implements StoreResult<T> {}

  /**
   * A row had another version than the transaction expected; nothing was done.
   *
   * @param <T> the value of a successful call
   */
  record Conflict<T>() implements StoreResult<T> {}

  /**
   * The store turned the call away; nothing was done.
   *
   * @param <T> the value of a successful call
   * @param reason why
   */
  record Refused<T>(String reason) implements StoreResult<T> {}

  /**
   * There was no answer; a transaction may have been done or may still be done.
   *
   * @param <T> the value of a successful call
   * @param reason why
   */
  record Unknown<T>(String reason) implements StoreResult<T> {}
}
