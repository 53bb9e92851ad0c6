package org.catkinlift.gateway.traffic;

/**
 * The time of the last confirmed contact with the store. Written by the control thread and read by
 * the traffic thread, so that contact needs no new snapshot and does not wake the traffic thread.
 */
public final class ContactTime {
  private volatile Contact last;

  private record Contact(long nanos) {}

  /**
   * Sets the time of the last confirmed contact.
   *
   * @param nanos the time
   */
  public void set(long nanos) {
    last = new Contact(nanos);
  }

  /**
   * Returns the time since the last confirmed contact.
   *
   * @param nowNanos the current time
   * @return nanoseconds; {@link Long#MAX_VALUE} if there was no contact yet
   */
  long ageNanos(long nowNanos) {
    Contact contact = last;
    return contact == null ? Long.MAX_VALUE : nowNanos - contact.nanos();
  }
}
