package org.catkinlift.protocol;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.Consumer;
import org.catkinlift.control.PeerMessage;
import org.catkinlift.model.HostId;
import org.catkinlift.protocol.generated.Frame;
import org.catkinlift.protocol.generated.PongFrame;

/** Decodes the inbound frames of one connection and passes them to the listener. */
final class FrameHandler extends SimpleChannelInboundHandler<Frame> {
  private final PeerListener listener;
  private final LinkNumberGenerator linkNumbers;
  private final Consumer<PeerLink> onClose;
  private PeerLink link;

  /** Handles a connection that the peer opened; its first frame identifies the peer. */
  FrameHandler(PeerListener listener, LinkNumberGenerator linkNumbers) {
    this.listener = listener;
    this.linkNumbers = linkNumbers;
    this.onClose = l -> {};
  }

  /** Handles a connection that this daemon opened. */
  FrameHandler(PeerListener listener, PeerLink link, Consumer<PeerLink> onClose) {
    this.listener = listener;
    this.linkNumbers = null;
    this.link = link;
    this.onClose = onClose;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    switch (frame.getBodyCase()) {
      case OPEN -> handleOpen(context, frame);
      case PING -> sendPong(context, frame);
      case PONG -> link.pongReceived(frame.getPong().getNumber());
      default -> deliver(frame);
    }
  }

  private void handleOpen(ChannelHandlerContext context, Frame frame) {
    int version = frame.getOpen().getProtocolVersion();
    if (version != PeerTransport.PROTOCOL_VERSION) {
      throw new ProtocolException(
          ProtocolException.Code.VERSION_MISMATCH,
          "peer uses unsupported protocol version " + version);
    }
    link =
        new PeerLink(
            context.channel(),
            HostId.of(frame.getOpen().getHost()),
            linkNumbers.next(),
            false,
            l -> {});
  }

  private static void sendPong(ChannelHandlerContext context, Frame frame) {
    context
        .writeAndFlush(
            Frame.newBuilder()
                .setPong(PongFrame.newBuilder().setNumber(frame.getPing().getNumber()))
                .build())
        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  private void deliver(Frame frame) {
    if (link == null) {
      throw new ProtocolException(
          ProtocolException.Code.MALFORMED_FRAME, "frame received before the open frame");
    }
    PeerMessageCodec.decode(frame).ifPresent(this::deliverMessage);
    RelayCodec.decode(frame).ifPresent(relay -> listener.relayReceived(link, relay));
  }

  private void deliverMessage(PeerMessage message) {
    listener.messageReceived(link.peer(), message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (link != null) {
      onClose.accept(link);
      listener.linkClosed(link);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    var unused = context.close();
  }
}
