package org.catkinlift.protocol;

import java.util.concurrent.atomic.AtomicLong;

/** Numbers the links of one process, so that streams of different links are told apart. */
final class LinkNumberGenerator {
  private final AtomicLong last = new AtomicLong();

  long next() {
    return last.incrementAndGet();
  }
}
