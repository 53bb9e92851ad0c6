package org.catkinlift.daemon.relay;

import com.google.common.collect.ImmutableListMultimap;
import com.google.protobuf.UnsafeByteOperations;
import io.vertx.core.buffer.Buffer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.catkinlift.model.Outcome;
import org.catkinlift.protocol.PeerLink;
import org.catkinlift.protocol.RelayFrame;

/** Serves attempts that other daemons relay to the dispatchers of this one. */
public final class RelayServer {
  private final Dispatching dispatching;
  private final Map<StreamKey, DispatchEnd> streams = new ConcurrentHashMap<>();

  private record StreamKey(long link, long stream) {}

  /**
   * Creates the server.
   *
   * @param dispatching opens the dispatcher side of attempts
   */
  public RelayServer(Dispatching dispatching) {
    this.dispatching = dispatching;
  }

  /**
   * Takes a frame of a request.
   *
   * @param link where it arrived
   * @param frame the frame; ignored if its stream has ended
   */
  public void received(PeerLink link, RelayFrame frame) {
    var key = new StreamKey(link.number(), frame.stream());
    switch (frame) {
      case RelayFrame.Request r -> open(link, key, r);
      case RelayFrame.Body b -> withStream(key, s -> s.body(bufferOf(b), b.last()));
      case RelayFrame.Credit c -> withStream(key, s -> s.credit(c.bytes()));
      case RelayFrame.Cancel c -> cancel(key);
      case RelayFrame.Response r -> {}
      case RelayFrame.Failure f -> {}
    }
  }

  /**
   * Cancels the streams of a link that is gone.
   *
   * @param link the link
   */
  public void linkClosed(PeerLink link) {
    streams.keySet().stream().filter(k -> k.link() == link.number()).toList().forEach(this::cancel);
  }

  private void open(PeerLink link, StreamKey key, RelayFrame.Request request) {
    var entry = new RemoteEntryEnd(link, key);
    streams.put(key, dispatching.open(request.head(), entry));
    if (entry.ended) {
      streams.remove(key);
    }
  }

  private static Buffer bufferOf(RelayFrame.Body body) {
    return Buffer.buffer(body.data().toByteArray());
  }

  private void withStream(StreamKey key, Consumer<DispatchEnd> call) {
    DispatchEnd end = streams.get(key);
    if (end != null) {
      call.accept(end);
    }
  }

  private void cancel(StreamKey key) {
    DispatchEnd end = streams.remove(key);
    if (end != null) {
      end.cancel();
    }
  }

  /** Sends the answer of an attempt back on its link. */
  private final class RemoteEntryEnd implements EntryEnd {
    private final PeerLink link;
    private final StreamKey key;

    /** Set by the dispatcher's event loop, maybe before the stream is in the map. */
    private volatile boolean ended;

    private RemoteEntryEnd(PeerLink link, StreamKey key) {
      this.link = link;
      this.key = key;
    }

    @Override
    public void head(int status, ImmutableListMultimap<String, String> headers) {
      link.send(new RelayFrame.Response(key.stream(), status, headers));
    }

    @Override
    public void body(Buffer data, boolean last) {
      link.send(
          new RelayFrame.Body(
              key.stream(), UnsafeByteOperations.unsafeWrap(data.getBytes()), last));
      if (last) {
        end();
      }
    }

    @Override
    public void credit(int bytes) {
      link.send(new RelayFrame.Credit(key.stream(), bytes));
    }

    @Override
    public void failed(Outcome outcome) {
      link.send(new RelayFrame.Failure(key.stream(), outcome));
      end();
    }

    private void end() {
      ended = true;
      streams.remove(key);
    }
  }
}
