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

/** Serves attempts that other daemons relay to the dispatchers of this daemon. */
public final class RelayServer {
  private final AttemptDispatcher dispatcher;
  private final Map<StreamKey, AttemptStream> streams = new ConcurrentHashMap<>();

  private record StreamKey(long link, long stream) {}

  /**
   * Creates the server.
   *
   * @param dispatcher dispatches the attempts
   */
  public RelayServer(AttemptDispatcher dispatcher) {
    this.dispatcher = dispatcher;
  }

  /**
   * Handles a frame from the daemon that relays the request.
   *
   * @param link the link on which the frame arrived
   * @param frame the frame; ignored if its stream has ended
   */
  public void frameReceived(PeerLink link, RelayFrame frame) {
    var key = new StreamKey(link.number(), frame.stream());
    switch (frame) {
      case RelayFrame.Request r -> open(link, key, r);
      case RelayFrame.Body b -> withStream(key, s -> s.sendBody(bufferOf(b), b.last()));
      case RelayFrame.Credit c -> withStream(key, s -> s.grantCredit(c.bytes()));
      case RelayFrame.Cancel c -> cancel(key);
      case RelayFrame.Response r -> {}
      case RelayFrame.Failure f -> {}
    }
  }

  /**
   * Cancels the streams of a closed link.
   *
   * @param link the link
   */
  public void linkClosed(PeerLink link) {
    streams.keySet().stream().filter(k -> k.link() == link.number()).toList().forEach(this::cancel);
  }

  private void open(PeerLink link, StreamKey key, RelayFrame.Request request) {
    var listener = new RemoteAttemptListener(link, key);
    streams.put(key, dispatcher.open(request.head(), listener));
    if (listener.ended) {
      streams.remove(key);
    }
  }

  private static Buffer bufferOf(RelayFrame.Body body) {
    return Buffer.buffer(body.data().toByteArray());
  }

  private void withStream(StreamKey key, Consumer<AttemptStream> call) {
    AttemptStream stream = streams.get(key);
    if (stream != null) {
      call.accept(stream);
    }
  }

  private void cancel(StreamKey key) {
    AttemptStream stream = streams.remove(key);
    if (stream != null) {
      stream.cancel();
    }
  }

  /** Sends the response of an attempt back on its link. */
  private final class RemoteAttemptListener implements AttemptListener {
    private final PeerLink link;
    private final StreamKey key;

    /** Set on the dispatcher's event loop, possibly before the stream is in the map. */
    private volatile boolean ended;

    private RemoteAttemptListener(PeerLink link, StreamKey key) {
      this.link = link;
      this.key = key;
    }

    @Override
    public void headReceived(int status, ImmutableListMultimap<String, String> headers) {
      link.send(new RelayFrame.Response(key.stream(), status, headers));
    }

    @Override
    public void bodyReceived(Buffer data, boolean last) {
      link.send(
          new RelayFrame.Body(
              key.stream(), UnsafeByteOperations.unsafeWrap(data.getBytes()), last));
      if (last) {
        streamEnded();
      }
    }

    @Override
    public void creditGranted(int bytes) {
      link.send(new RelayFrame.Credit(key.stream(), bytes));
    }

    @Override
    public void failed(Outcome outcome) {
      link.send(new RelayFrame.Failure(key.stream(), outcome));
      streamEnded();
    }

    private void streamEnded() {
      ended = true;
      streams.remove(key);
    }
  }
}
