package org.catkinlift.standin.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

/** Sends a file at the pace of its receiver. Confined to the event loop. */
final class FileSender {

  private static final int PART_BYTES = 16 * 1024;

  private final HttpServerResponse response;
  private final FreezeGate gate;
  private final int seed;
  private final long total;
  private final Runnable done;
  private long offset;
  private boolean ended;

  /**
   * Creates a sender.
   *
   * @param response where to write; its headers are set
   * @param gate holds parts back while the process is paused
   * @param download which file
   * @param done called once, after the last part or when the connection is closed
   */
  FileSender(HttpServerResponse response, FreezeGate gate, Task.Download download, Runnable done) {
    this.response = response;
    this.gate = gate;
    this.seed = FileContent.seedOf(download.name());
    this.total = download.bytes();
    this.done = done;
  }

  void start() {
    response.closeHandler(v -> finish());
    response.drainHandler(v -> gate.pass(this::sendParts));
    sendParts();
  }

  private void sendParts() {
    while (!ended && offset < total && !response.writeQueueFull()) {
      int length = (int) Math.min(PART_BYTES, total - offset);
      var unused = response.write(Buffer.buffer(FileContent.part(seed, offset, length)));
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
    done.run();
  }
}
