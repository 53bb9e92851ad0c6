package org.catkinlift.daemon.upstream;

import org.catkinlift.limits.AttemptResult;
import org.catkinlift.model.RefusalCode;

/** Maps the HTTP status of an upstream's refusal to a refusal code and an attempt result. */
final class RefusalStatus {
  private static final int TOO_LATE = 408;
  private static final int STALE_EPOCH = 409;
  private static final int SHED = 503;

  private RefusalStatus() {}

  static RefusalCode codeOf(int status) {
    return switch (status) {
      case TOO_LATE -> RefusalCode.DEADLINE_PASSED;
      case STALE_EPOCH -> RefusalCode.STALE_EPOCH;
      default -> RefusalCode.UPSTREAM_SHED;
    };
  }

  static AttemptResult resultOf(int status) {
    return status == SHED ? new AttemptResult.Shed() : new AttemptResult.Refused(codeOf(status));
  }
}
