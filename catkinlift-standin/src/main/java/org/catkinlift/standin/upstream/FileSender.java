package org.catkinlift.standin.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

/** Sends a file with backpressure from the receiver. Confined to the event loop. */
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
   * @param response the response to write to; its headers are already set
   * @param gate defers chunks while the process is frozen
   * @param download the file to send
   * @param onDone called once, after the last chunk or when the connection closes
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
