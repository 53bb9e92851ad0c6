package org.catkinlift.gateway.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** Guards against an answer that is cut because its connection is closed before it has left. */
final class ChannelsTest {

  @Test
  void closeAfterWritesFlushesBeforeClosing() {
    var channel = new EmbeddedChannel();
    Channels.write(channel, "end of an answer");
    Channels.closeAfterWrites(channel);
    channel.runPendingTasks();

    assertThat(channel.<Object>readOutbound()).isEqualTo("end of an answer");
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void closeDiscardsUnflushedWrites() {
    var channel = new EmbeddedChannel();
    Channels.write(channel, "end of an answer");
    Channels.close(channel);
    channel.runPendingTasks();

    assertThat(channel.<Object>readOutbound()).isNull();
  }
}
