package org.catkinlift.admission;

/**
 * Limits the bytes of request bodies that this daemon has sent to one upstream and that the
 * upstream has not answered. Upstreams crash if the requests that they hold exceed their memory.
 * Not thread-safe.
 */
public final class BodyBytesLimit {
  /** The size of the largest body that a configuration permits by default. */
  private static final long MAX_BYTES = 64L << 20;

  /**
   * Shorter bodies are always admitted, so that long ones that stall do not shut them out. Their
   * number is bounded by the requests in flight.
   */
  private static final long MAX_UNLIMITED_BYTES = 64 << 10;

  private long bytesInFlight;

  /**
   * Returns whether a request may be sent. One with a body over the limit may be sent alone.
   *
   * @param bytes the length of its body, or the maximum if that is unknown
   * @return whether it may be sent
   */
  public boolean admits(long bytes) {
    return bytes <= MAX_UNLIMITED_BYTES || bytesInFlight == 0 || bytesInFlight + bytes <= MAX_BYTES;
  }

  /**
   * Records that a request is sent.
   *
   * @param bytes the length of its body, or the maximum if that is unknown
   */
  public void sent(long bytes) {
    bytesInFlight += bytes;
  }

  /**
   * Records that a request has ended.
   *
   * @param bytes the length that was recorded when it was sent
   */
  public void ended(long bytes) {
    bytesInFlight -= bytes;
  }
}
