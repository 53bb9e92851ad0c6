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
  public void head(int status, ImmutableListMultimap<String, String> headers) {
    context.runOnContext(v -> target.head(status, headers));
  }

  @Override
  public void body(Buffer data, boolean last) {
    context.runOnContext(v -> target.body(data, last));
  }

  @Override
  public void credit(int bytes) {
    context.runOnContext(v -> target.credit(bytes));
  }

  @Override
  public void failed(Outcome outcome) {
    context.runOnContext(v -> target.failed(outcome));
  }
}
