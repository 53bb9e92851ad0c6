package org.catkinlift.model;

/** Whether a request may be executed more than once. */
public sealed interface RequestClass {
  /** The class of idempotent requests. */
  RequestClass REPEATABLE = new Repeatable();

  /** The class of requests that must not be executed twice. */
  RequestClass AT_MOST_ONCE = new AtMostOnce();

  /** An idempotent request, which may be sent again after any failure. */
  record Repeatable() implements RequestClass {}

  /** A request that is sent again only if the first attempt is known not to have been executed. */
  record AtMostOnce() implements RequestClass {}
}
