package org.catkinlift.ownership;

import com.google.common.hash.Hashing;
import org.catkinlift.model.HostId;

/** Names the platform transactions of one run of a daemon's process. */
final class RequestIds {
  private final String prefix;
  private long next = 1;

  RequestIds(HostId self, String run) {
    this.prefix = self + "/" + run + "/";
  }

  String next() {
    return prefix + next++;
  }

  /** Returns a number that differs between the runs of this daemon and between daemons. */
  long runFingerprint() {
    return Hashing.farmHashFingerprint64().hashUnencodedChars(prefix).asLong();
  }

  /** Tells whether this run made the transaction. */
  boolean isOwn(String requestId) {
    return requestId.startsWith(prefix);
  }
}
