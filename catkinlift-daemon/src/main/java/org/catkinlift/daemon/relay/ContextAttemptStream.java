package org.catkinlift.daemon.relay;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;

/** Runs calls to an attempt stream on the event loop that owns it. */
public final class ContextAttemptStream implements AttemptStream {
  private final Context context;
  private final AttemptStream target;

  /**
   * Creates the adapter.
   *
   * @param context the event loop that owns the target
   * @param target the attempt stream
   */
  public ContextAttemptStream(Context context, AttemptStream target) {
    this.context = context;
    this.target = target;
  }

  @Override
  public void sendBody(Buffer data, boolean last) {
    context.runOnContext(v -> target.sendBody(data, last));
  }

  @Override
  public void grantCredit(int bytes) {
    context.runOnContext(v -> target.grantCredit(bytes));
  }

  @Override
  public void cancel() {
    context.runOnContext(v -> target.cancel());
  }
}
