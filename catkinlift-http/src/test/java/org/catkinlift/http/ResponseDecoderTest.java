package org.catkinlift.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which responses are complete, and which are malformed. */
final class ResponseDecoderTest {
  private static final String WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\n";

  private final EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder());

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  private boolean isComplete() {
    boolean complete = false;
    HttpObject part = channel.readInbound();
    while (part != null) {
      assertThat(part.decoderResult().isSuccess()).isTrue();
      complete = part instanceof LastHttpContent;
      ReferenceCountUtil.release(part);
      part = channel.readInbound();
    }
    return complete;
  }

  /** Without a length, the end of the server's output is the only end of a response. */
  @Test
  void endOfOutputCompletesResponseWithoutLength() {
    receive(WITHOUT_LENGTH + "whole");
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

    assertThat(isComplete()).isTrue();
    assertThat(channel.isOpen()).isFalse();
  }

  /** A failed write closes the channel without an exception, and so does the end of the process. */
  @Test
  void closedChannelDoesNotCompleteResponseWithoutLength() {
    receive(WITHOUT_LENGTH + "part");
    var unused = channel.close();

    assertThat(isComplete()).isFalse();
  }

  /** Netty reports the end of the input after a failed read, too. */
  @Test
  void failedReadDoesNotCompleteResponseWithoutLength() {
    receive(WITHOUT_LENGTH + "part");
    channel.pipeline().fireExceptionCaught(new IOException("reset"));
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

    assertThat(isComplete()).isFalse();
  }

  /** The head alone would be a response with an empty body. */
  @Test
  void closedChannelDoesNotCompleteHead() {
    receive(WITHOUT_LENGTH);
    var unused = channel.close();

    assertThat(channel.<HttpObject>readInbound()).isInstanceOf(HttpResponse.class);
    assertThat(channel.<HttpObject>readInbound()).isNull();
  }

  /** A response of a known length is complete before its connection ends. */
  @Test
  void responseWithLengthIsCompleteBeforeChannelCloses() {
    receive("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");

    assertThat(isComplete()).isTrue();
  }

  /** The rest of the body is missing. */
  @Test
  void endOfOutputDoesNotCompleteResponseWithLength() {
    receive("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart");
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

    assertThat(isComplete()).isFalse();
  }

  /** The decoder of Netty takes any number for a status. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "20", "0200", "+200", "-200", "2 00", "2x0"})
  void statusThatIsNotThreeDigitsInRangeIsMalformed(String status) {
    receive("HTTP/1.1 " + status + " OK\r\nContent-Length: 0\r\n\r\n");

    assertThat(channel.<HttpObject>readInbound().decoderResult().isFailure()).isTrue();
  }

  /** The decoder of Netty ends a name at a blank and ignores the rest of it. */
  @ParameterizedTest
  @ValueSource(strings = {"X-A : x", "X-A\t: x", "X A: x", "X\tA: x", "X-A ", " X-A: x", "X-A"})
  void fieldWithBlankInNameIsMalformed(String line) {
    receive("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 0\r\n\r\n");

    assertThat(channel.<HttpObject>readInbound().decoderResult().isFailure()).isTrue();
  }

  /** A field must not be taken for malformed because it arrives in parts. */
  @Test
  void fieldThatArrivesByteByByteIsValid() {
    for (char c : "HTTP/1.1 200 OK\r\nX-A: x\r\n y\r\nContent-Length: 0\r\n\r\n".toCharArray()) {
      receive(String.valueOf(c));
    }

    assertThat(channel.<HttpResponse>readInbound().headers().get("X-A")).isEqualTo("x y");
    assertThat(isComplete()).isTrue();
  }
}
