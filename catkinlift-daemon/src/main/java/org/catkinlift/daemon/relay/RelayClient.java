package org.catkinlift.daemon.relay;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.catkinlift.model.HostDefinition;
import org.catkinlift.model.Outcome;
import org.catkinlift.model.RefusalCode;
import org.catkinlift.model.RequestClass;
import org.catkinlift.model.ServiceName;
import org.catkinlift.protocol.PeerLink;
import org.catkinlift.protocol.PeerTransport;
import org.catkinlift.protocol.RelayFrame;
import org.catkinlift.protocol.RelayHead;

/** Relays attempts to the dispatchers of other daemons and passes their answers back. */
public final class RelayClient {
  private static final Duration RETRY_AFTER_LINK_FAILURE = Duration.ofMillis(250);

  private final AtomicLong lastStreamId = new AtomicLong();
  private final Map<Long, OpenStream> openStreams = new ConcurrentHashMap<>();
  private final Consumer<ServiceName> onRelayed;
  private volatile PeerTransport transport;

  /** An open stream, the link that carries it, and whether it may be given up for another. */
  private record OpenStream(AttemptListener listener, PeerLink link, boolean retryable) {
    private static OpenStream of(AttemptListener listener, PeerLink link, RelayHead head) {
      return new OpenStream(listener, link, isRepeatable(head.request().requestClass()));
    }

    private static boolean isRepeatable(RequestClass requestClass) {
      return switch (requestClass) {
        case RequestClass.Repeatable r -> true;
        case RequestClass.AtMostOnce a -> false;
      };
    }

    /** An answer that has begun cannot continue on another stream. */
    private OpenStream responseStarted() {
      return new OpenStream(listener, link, false);
    }
  }

  /**
   * Creates a client.
   *
   * @param onRelayed takes the service of each attempt that was sent; called on any thread
   */
  public RelayClient(Consumer<ServiceName> onRelayed) {
    this.onRelayed = onRelayed;
  }

  /**
   * Sets the transport; called once, before the first attempt.
   *
   * @param transport the transport
   */
  public void connect(PeerTransport transport) {
    this.transport = transport;
  }

  /**
   * Opens an attempt at another daemon.
   *
   * @param to the dispatcher
   * @param head the request
   * @param listener the entry side; may be called on any thread
   * @return the dispatcher side
   */
  public AttemptStream open(HostDefinition to, RelayHead head, AttemptListener listener) {
    long stream = lastStreamId.incrementAndGet();
    var attemptStream = new RemoteAttemptStream(stream);
    var unused =
        transport
            .relayLink(to)
            .whenComplete(
                (link, failure) -> {
                  if (failure != null) {
                    listener.failed(
                        Outcome.notRun(
                            RefusalCode.DISPATCHER_UNREACHABLE, RETRY_AFTER_LINK_FAILURE));
                    return;
                  }
                  openStreams.put(stream, OpenStream.of(listener, link, head));
                  link.send(new RelayFrame.Request(stream, head));
                  onRelayed.accept(head.request().service());
                  attemptStream.connected(link);
                  if (!link.isOpen()) {
                    linkClosed(link);
                  }
                });
    return attemptStream;
  }

  /**
   * Takes a frame of an answer.
   *
   * @param frame the frame; ignored if its stream has ended
   */
  public void frameReceived(RelayFrame frame) {
    OpenStream open = openStreams.get(frame.stream());
    if (open == null) {
      return;
    }
    switch (frame) {
      case RelayFrame.Response r -> {
        openStreams.replace(r.stream(), open.responseStarted());
        open.listener().head(r.status(), r.headers());
      }
      case RelayFrame.Body b -> bodyReceived(open, b);
      case RelayFrame.Failure f -> {
        openStreams.remove(f.stream());
        open.listener().failed(f.outcome());
      }
      case RelayFrame.Credit c -> open.listener().credit(c.bytes());
      case RelayFrame.Request r -> {}
      case RelayFrame.Cancel c -> {}
    }
  }

  private void bodyReceived(OpenStream open, RelayFrame.Body body) {
    if (body.last()) {
      openStreams.remove(body.stream());
    }
    open.listener().body(Buffer.buffer(body.data().toByteArray()), body.last());
  }

  /**
   * Ends the streams of a link that does not answer, so that they can be retried elsewhere.
   *
   * <p>Requests that must not run twice stay, because their answer may still arrive, and so do
   * answers that have begun.
   *
   * @param link the link
   */
  public void linkSuspected(PeerLink link) {
    openStreams.forEach(
        (stream, open) -> {
          if (open.retryable() && link.equals(open.link()) && openStreams.remove(stream, open)) {
            link.send(new RelayFrame.Cancel(stream));
            open.listener().failed(Outcome.unknown(RefusalCode.CONNECTION_LOST));
          }
        });
  }

  /**
   * Ends the streams of a link that is gone; whether their requests ran is not known.
   *
   * @param link the link
   */
  public void linkClosed(PeerLink link) {
    openStreams.forEach(
        (stream, open) -> {
          if (link.equals(open.link()) && openStreams.remove(stream, open)) {
            open.listener().failed(Outcome.unknown(RefusalCode.CONNECTION_LOST));
          }
        });
  }

  /** Sends frames on the stream; keeps them back until the link is open. */
  private final class RemoteAttemptStream implements AttemptStream {
    private final long stream;
    private PeerLink link;
    private boolean cancelled;

    private RemoteAttemptStream(long stream) {
      this.stream = stream;
    }

    private synchronized void connected(PeerLink opened) {
      link = opened;
      if (cancelled) {
        link.send(new RelayFrame.Cancel(stream));
      }
    }

    @Override
    public synchronized void body(Buffer data, boolean last) {
      ByteString bytes = UnsafeByteOperations.unsafeWrap(data.getBytes());
      // Body bytes follow credit, which arrives on the open link.
      link.send(new RelayFrame.Body(stream, bytes, last));
    }

    @Override
    public synchronized void credit(int bytes) {
      link.send(new RelayFrame.Credit(stream, bytes));
    }

    @Override
    public synchronized void cancel() {
      cancelled = true;
      openStreams.remove(stream);
      if (link != null) {
        link.send(new RelayFrame.Cancel(stream));
      }
    }
  }
}
