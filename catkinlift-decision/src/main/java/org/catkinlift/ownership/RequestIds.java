package org.catkinlift.ownership;

import com.google.common.hash.Hashing;
import org.catkinlift.model.HostId;

/** Generates the request ids of the platform transactions of one run of a daemon's process. */
final class RequestIds {
  private final String prefix;
  private long next = 1;

  RequestIds(HostId self, String run) {
    this.prefix = self + "/" + run + "/";
  }

  String next() {
    return prefix + next++;
  }

  /** Returns a hash that identifies this run among all runs of all daemons. */
  long runFingerprint() {
    return Hashing.farmHashFingerprint64().hashUnencodedChars(prefix).asLong();
  }

  /** Returns whether this run issued the request id. */
  boolean isOwn(String requestId) {
    return requestId.startsWith(prefix);
  }
}
