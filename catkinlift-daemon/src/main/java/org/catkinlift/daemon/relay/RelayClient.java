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

/** Relays attempts to the dispatchers of other daemons and delivers their responses. */
public final class RelayClient {
  private static final Duration RETRY_AFTER_LINK_FAILURE = Duration.ofMillis(250);

  private final AtomicLong lastStreamId = new AtomicLong();
  private final Map<Long, OpenStream> openStreams = new ConcurrentHashMap<>();
  private final Consumer<ServiceName> onRelayed;
  private volatile PeerTransport transport;

  /**
   * An open stream, its link, and whether its request may be retried if the link does not respond.
   */
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

    /** A response that has started cannot continue on another stream. */
    private OpenStream responseStarted() {
      return new OpenStream(listener, link, false);
    }
  }

  /**
   * Creates a client.
   *
   * @param onRelayed receives the service of each attempt that was sent; called on any thread
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
   * Opens an attempt on another daemon.
   *
   * @param to the dispatcher
   * @param head the head of the relayed request
   * @param listener receives the response; called on any thread
   * @return the stream of the attempt
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
   * Handles a frame from the dispatcher.
   *
   * @param frame the frame; ignored if its stream has ended
   */
  public void frameReceived(RelayFrame frame) {
    OpenStream openStream = openStreams.get(frame.stream());
    if (openStream == null) {
      return;
    }
    switch (frame) {
      case RelayFrame.Response r -> {
        openStreams.replace(r.stream(), openStream.responseStarted());
        openStream.listener().headReceived(r.status(), r.headers());
      }
      case RelayFrame.Body b -> bodyReceived(openStream, b);
      case RelayFrame.Failure f -> {
        openStreams.remove(f.stream());
        openStream.listener().failed(f.outcome());
      }
      case RelayFrame.Credit c -> openStream.listener().creditGranted(c.bytes());
      case RelayFrame.Request r -> {}
      case RelayFrame.Cancel c -> {}
    }
  }

  private void bodyReceived(OpenStream openStream, RelayFrame.Body body) {
    if (body.last()) {
      openStreams.remove(body.stream());
    }
    openStream.listener().bodyReceived(Buffer.buffer(body.data().toByteArray()), body.last());
  }

  /**
   * Fails the streams of an unresponsive link, so that their requests can be retried elsewhere.
   *
   * <p>At-most-once requests stay open, because their response may still arrive, and so do
   * responses that have started.
   *
   * @param link the link
   */
  public void linkSuspected(PeerLink link) {
    openStreams.forEach(
        (stream, openStream) -> {
          if (openStream.retryable()
              && link.equals(openStream.link())
              && openStreams.remove(stream, openStream)) {
            link.send(new RelayFrame.Cancel(stream));
            openStream.listener().failed(Outcome.unknown(RefusalCode.CONNECTION_LOST));
          }
        });
  }

  /**
   * Fails the streams of a closed link; whether their requests were executed is unknown.
   *
   * @param link the link
   */
  public void linkClosed(PeerLink link) {
    openStreams.forEach(
        (stream, openStream) -> {
          if (link.equals(openStream.link()) && openStreams.remove(stream, openStream)) {
            openStream.listener().failed(Outcome.unknown(RefusalCode.CONNECTION_LOST));
          }
        });
  }

  /**
   * Sends the frames of one stream. A cancellation before the link is open is sent once it opens.
   */
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
    public synchronized void sendBody(Buffer data, boolean last) {
      ByteString bytes = UnsafeByteOperations.unsafeWrap(data.getBytes());
      // The link is open: body data is sent only after credit, which arrives on the link.
      link.send(new RelayFrame.Body(stream, bytes, last));
    }

    @Override
    public synchronized void grantCredit(int bytes) {
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
