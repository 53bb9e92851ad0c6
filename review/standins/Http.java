import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
  private Http() {}

  /** A message: its first line, its headers, and its body. */
  record Message(String line, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.get(name);
    }

    int status() {
      return Integer.parseInt(line.split(" ", 3)[1]);
    }

    String method() {
      return line.split(" ", 3)[0];
    }

    String path() {
      return line.split(" ", 3)[1];
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Reads a message; null if the connection ends before its first byte. */
  static Message read(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    while (true) {
      String header = readLine(in);
      if (header == null) {
        throw new IOException("connection ended within a head");
      }
      if (header.isEmpty()) {
        break;
      }
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon).trim(), header.substring(colon + 1).trim());
    }
    return new Message(line, headers, readBody(in, headers));
  }

  private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
    if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
      var body = new ByteArrayOutputStream();
      while (true) {
        String size = readLine(in);
        if (size == null) {
          throw new IOException("connection ended within a body");
        }
        int length = Integer.parseInt(size.trim(), 16);
        body.write(readFully(in, length));
        readLine(in);
        if (length == 0) {
          return body.toByteArray();
        }
      }
    }
    return readFully(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
  }

  private static byte[] readFully(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new IOException("connection ended within a body");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    var line = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new IOException("connection ended within a line");
      }
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
  }

  static InputStream buffered(InputStream in) {
    return new BufferedInputStream(in, 1 << 14);
  }
}
