package org.catkinlift.control;

/**
 * States which part of the sender's versions the digest of a heartbeat or of its answer covers.
 *
 * <p>Messages are named by their sequence, which the heartbeat and its answer share.
 *
 * @param incarnation names the run of the sender's process, since a restarted daemon knows nothing
 *     of what its earlier run sent; 0 in a heartbeat, where the term names the run
 * @param base the digest states all versions that the sender took over after it sent message {@code
 *     base}; 0 if it states all versions. A digest whose base is the message itself states nothing
 * @param acknowledged the latest message of the receiver up to which the sender has seen all
 *     versions; 0 if there is none
 */
public record DigestRange(long incarnation, long base, long acknowledged) {
  /** The range of a digest that states all versions, from a sender that has seen none. */
  public static final DigestRange FULL = new DigestRange(0, 0, 0);
}
