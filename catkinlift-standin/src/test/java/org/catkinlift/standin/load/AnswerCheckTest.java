package org.catkinlift.standin.load;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.Optional;
import org.catkinlift.standin.upstream.FileContent;
import org.catkinlift.standin.upstream.Task;
import org.junit.jupiter.api.Test;

/** Guards against accepting a response to another request or an incomplete file. */
final class AnswerCheckTest {

  private static final PlannedRequest LOOKUP =
      new PlannedRequest(0, "r1", new Task.Lookup("k1"), Duration.ZERO);
  private static final PlannedRequest DOWNLOAD =
      new PlannedRequest(0, "r1", new Task.Download("page", 100), Duration.ZERO);

  @Test
  void acceptsOnlyTheAnswerToItsOwnRequest() {
    assertThat(lookup("r1", "{\"key\":\"k1\",\"requestId\":\"r1\"}"))
        .isEqualTo(new Verdict.Answered());
    assertThat(lookup("r2", "{\"key\":\"k1\",\"requestId\":\"r1\"}")).isInstanceOf(wrong());
    assertThat(lookup("r1", "{\"key\":\"k2\",\"requestId\":\"r1\"}")).isInstanceOf(wrong());
    assertThat(lookup("r1", "{\"key\":\"k1\",\"requestId\":\"r2\"}")).isInstanceOf(wrong());
    assertThat(lookup("r1", "{\"key\":")).isInstanceOf(wrong());
  }

  @Test
  void acceptsOnlyTheCompleteFile() {
    byte[] file = FileContent.chunk(FileContent.seedOf("page"), 0, 100);
    byte[] other = FileContent.chunk(FileContent.seedOf("page-2"), 0, 100);
    byte[] half = FileContent.chunk(FileContent.seedOf("page"), 0, 50);
    byte[] secondHalf = FileContent.chunk(FileContent.seedOf("page"), 50, 50);

    assertThat(download(file)).isEqualTo(new Verdict.Answered());
    assertThat(download(half, secondHalf)).isEqualTo(new Verdict.Answered());
    assertThat(download(other)).isInstanceOf(wrong());
    assertThat(download(half)).isInstanceOf(wrong());
    assertThat(download(half, half)).isInstanceOf(wrong());
  }

  @Test
  void tellsRefusalsApartByTheirOutcome() {
    assertThat(refusal(Optional.of("not-run"))).isEqualTo(new Verdict.RefusedNotRun());
    assertThat(refusal(Optional.of("unknown"))).isEqualTo(new Verdict.Unknown());
    assertThat(refusal(Optional.empty())).isInstanceOf(wrong());
  }

  private static Class<? extends Verdict> wrong() {
    return Verdict.Wrong.class;
  }

  private static Verdict lookup(String id, String body) {
    var check = new AnswerCheck(LOOKUP, 200, Optional.of(id), Optional.empty());
    check.addChunk(body.getBytes(UTF_8));
    return check.finish();
  }

  private static Verdict download(byte[]... parts) {
    var check = new AnswerCheck(DOWNLOAD, 200, Optional.of("r1"), Optional.empty());
    for (byte[] part : parts) {
      check.addChunk(part);
    }
    return check.finish();
  }

  private static Verdict refusal(Optional<String> outcome) {
    return new AnswerCheck(LOOKUP, 503, Optional.of("r1"), outcome).finish();
  }
}
