package org.catkinlift.daemon.relay;

import com.google.common.collect.ImmutableListMultimap;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import org.catkinlift.model.Outcome;

/** Runs calls to an attempt listener on the event loop that owns it. */
public final class ContextAttemptListener implements AttemptListener {
  private final Context context;
  private final AttemptListener target;

  /**
   * Creates the adapter.
   *
   * @param context the event loop that owns the target
   * @param target the listener
   */
  public ContextAttemptListener(Context context, AttemptListener target) {
    this.context = context;
    this.target = target;
  }

  @Override
  public void headReceived(int status, ImmutableListMultimap<String, String> headers) {
    context.runOnContext(v -> target.headReceived(status, headers));
  }

  @Override
  public void bodyReceived(Buffer data, boolean last) {
    context.runOnContext(v -> target.bodyReceived(data, last));
  }

  @Override
  public void creditGranted(int bytes) {
    context.runOnContext(v -> target.creditGranted(bytes));
  }

  @Override
  public void failed(Outcome outcome) {
    context.runOnContext(v -> target.failed(outcome));
  }
}
