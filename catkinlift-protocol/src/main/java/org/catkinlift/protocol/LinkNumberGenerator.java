package org.catkinlift.protocol;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates link numbers that are unique within the process, because stream numbers are unique only
 * within their link.
 */
final class LinkNumberGenerator {
  private final AtomicLong last = new AtomicLong();

  long next() {
    return last.incrementAndGet();
  }
}
