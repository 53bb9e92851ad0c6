package org.catkinlift.gateway.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** Guards against responses truncated by closing the connection before pending writes complete. */
final class ChannelsTest {

  @Test
  void closeAfterWritesFlushesBeforeClosing() {
    var channel = new EmbeddedChannel();
    Channels.write(channel, "end of a response");
    Channels.closeAfterWrites(channel);
    channel.runPendingTasks();

    assertThat(channel.<Object>readOutbound()).isEqualTo("end of a response");
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void closeDiscardsUnflushedWrites() {
    var channel = new EmbeddedChannel();
    Channels.write(channel, "end of a response");
    Channels.close(channel);
    channel.runPendingTasks();

    assertThat(channel.<Object>readOutbound()).isNull();
  }
}
