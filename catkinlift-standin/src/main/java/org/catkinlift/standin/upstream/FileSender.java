package org.catkinlift.standin.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

/** Sends a file at the pace of its receiver. Confined to the event loop. */
final class FileSender {

  private static final int CHUNK_BYTES = 16 * 1024;

  private final HttpServerResponse response;
  private final FreezeGate gate;
  private final int seed;
  private final long total;
  private final Runnable onDone;
  private long offset;
  private boolean ended;

  /**
   * Creates a sender.
   *
   * @param response where to write; its headers are set
   * @param gate holds parts back while the process is paused
   * @param download which file
   * @param onDone called once, after the last part or when the connection is closed
   */
  FileSender(
      HttpServerResponse response, FreezeGate gate, Task.Download download, Runnable onDone) {
    this.response = response;
    this.gate = gate;
    this.seed = FileContent.seedOf(download.name());
    this.total = download.bytes();
    this.onDone = onDone;
  }

  void start() {
    response.closeHandler(v -> finish());
    response.drainHandler(v -> gate.runOrDefer(this::sendChunks));
    sendChunks();
  }

  private void sendChunks() {
    while (!ended && offset < total && !response.writeQueueFull()) {
      int length = (int) Math.min(CHUNK_BYTES, total - offset);
      var unused = response.write(Buffer.buffer(FileContent.chunk(seed, offset, length)));
      offset += length;
    }
    if (offset == total && !ended) {
      var unused = response.end();
      finish();
    }
  }

  private void finish() {
    if (ended) {
      return;
    }
    ended = true;
    onDone.run();
  }
}
