package review2;

import java.io.BufferedInputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/** Orders whose body holds the text of another order, with a Connection header that is odd. */
final class Smuggle {
  private static final int BODY_BYTES = 400_000;
  private static final int REQUESTS = 5;

  public static void main(String[] arguments) {
    Harness.main(Path.of(arguments[0]), 4, 2, Smuggle::isBroken);
  }

  private static boolean isBroken(Harness harness) throws Exception {
    Set<String> sent = new HashSet<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = String.format("a%015d", i);
      sent.add(id);
      String inner =
          "POST /orders/not-sent HTTP/1.1\r\nHost: " + Harness.HOST
              + "\r\nX-Request-Id: " + String.format("b%015d", i)
              + "\r\nX-Shard-Key: 700\r\nContent-Length: 0\r\n\r\n";
      byte[] body = new byte[BODY_BYTES];
      Arrays.fill(body, (byte) 'x');
      byte[] start = inner.getBytes(StandardCharsets.ISO_8859_1);
      System.arraycopy(start, 0, body, 0, start.length);
      String connection = harness.trouble ? "keep-alive, Content-Length" : "keep-alive";
      String head =
          "POST /orders/2f HTTP/1.1\r\nHost: " + Harness.HOST + "\r\nX-Request-Id: " + id
              + "\r\nX-Deadline-Ms: 3000\r\nX-Shard-Key: 700\r\nConnection: " + connection
              + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
      try (Socket socket =
          new Socket(InetAddress.getByName("127.0.0.1"), harness.router.callers)) {
        socket.setSoTimeout(5_000);
        harness.record.line("client sends POST /orders/2f id=" + id + " body=" + BODY_BYTES);
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
        Wire.Answer answer = Wire.answer(new BufferedInputStream(socket.getInputStream()));
        harness.record.line("client got id=" + id + " "
            + (answer.head() == null ? answer.end() : answer.head().line()));
      } catch (java.io.IOException e) {
        harness.record.line("client got id=" + id + " " + e.getMessage());
      }
      Thread.sleep(300);
    }
    Thread.sleep(1_000);
    boolean broken = false;
    int ran = 0;
    for (Harness.Run run : Harness.RUNS) {
      boolean unasked = !sent.contains(run.id());
      boolean changed = !unasked && run.bodyBytes() != BODY_BYTES;
      ran += unasked ? 0 : 1;
      if (unasked || changed) {
        harness.record.line("UNASKED: " + run + (unasked ? " no client sent it" : " body changed"));
        broken = true;
      }
    }
    harness.record.line("requests sent=" + sent.size() + " ran=" + ran);
    if (!harness.trouble && ran != sent.size()) {
      throw new IllegalStateException("the calm run did not serve all requests");
    }
    return broken;
  }
}
