import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what happens in a case, with the time since its start, to record.txt. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the time since the start in milliseconds. */
  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void add(String format, Object... arguments) {
    out.printf("%9.3f s  %s%n", now() / 1_000.0, String.format(format, arguments));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
