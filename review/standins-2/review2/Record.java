package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file record.txt: what was sent, answered and run, with the milliseconds since the start. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  synchronized void line(String text) {
    out.printf("%7d %s%n", (System.nanoTime() - startNanos) / 1_000_000, text);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
