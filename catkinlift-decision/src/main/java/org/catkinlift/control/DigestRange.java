package org.catkinlift.control;

/**
 * Describes which of the sender's versions the digest of a heartbeat or of its answer covers.
 *
 * <p>Messages are identified by their sequence, which a heartbeat and its answer share.
 *
 * @param incarnation identifies the run of the sender's process, since a restarted daemon has no
 *     record of the messages of its earlier run; 0 in a heartbeat, where the term identifies the
 *     run
 * @param base the digest lists all versions that the sender stored after it sent message {@code
 *     base}; 0 if it lists all versions. A digest whose base is the message itself is empty
 * @param acknowledged the latest message of the receiver up to which the sender has seen all
 *     versions; 0 if there is none
 */
public record DigestRange(long incarnation, long base, long acknowledged) {
  /** The range of a digest that lists all versions, from a sender that acknowledges no message. */
  public static final DigestRange FULL = new DigestRange(0, 0, 0);
}
