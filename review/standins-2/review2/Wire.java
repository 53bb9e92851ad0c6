package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Plain HTTP/1.1 on blocking streams, strict about where a message ends. */
final class Wire {
  record Head(String line, Map<String, String> fields) {
    String field(String name) {
      return fields.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
      return Integer.parseInt(line.split(" ", 3)[1]);
    }
  }

  /** An answer as a client saw it: complete only if its own framing says so. */
  record Answer(Head head, byte[] body, boolean complete, String end) {}

  private Wire() {}

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int c = in.read();
    if (c < 0) {
      return null;
    }
    while (c != '\n') {
      if (c < 0) {
        throw new EOFException("end in the middle of a line");
      }
      if (c != '\r') {
        out.write(c);
      }
      if (out.size() > 65536) {
        throw new IOException("line too long");
      }
      c = in.read();
    }
    return out.toString("ISO-8859-1");
  }

  /** Returns null if the connection ended before a message began. */
  static Head head(InputStream in) throws IOException {
    String first = line(in);
    while (first != null && first.isEmpty()) {
      first = line(in);
    }
    if (first == null) {
      return null;
    }
    Map<String, String> fields = new LinkedHashMap<>();
    for (String next = line(in); !"".equals(next); next = line(in)) {
      if (next == null) {
        throw new EOFException("end in the middle of a head");
      }
      int colon = next.indexOf(':');
      if (colon < 1) {
        throw new IOException("no header field: " + next);
      }
      fields.put(
          next.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          next.substring(colon + 1).trim());
    }
    return new Head(first, fields);
  }

  /** Reads the body of a request: chunked, with a length, or none. */
  static byte[] requestBody(InputStream in, Head head) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (head.field("transfer-encoding") != null) {
      chunks(in, body);
    } else if (head.field("content-length") != null) {
      fixed(in, Long.parseLong(head.field("content-length")), body);
    }
    return body.toByteArray();
  }

  private static void fixed(InputStream in, long length, ByteArrayOutputStream body)
      throws IOException {
    byte[] piece = new byte[16384];
    long left = length;
    while (left > 0) {
      int n = in.read(piece, 0, (int) Math.min(piece.length, left));
      if (n < 0) {
        throw new EOFException("end in the middle of a body");
      }
      body.write(piece, 0, n);
      left -= n;
    }
  }

  private static void chunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new EOFException("end before a chunk");
      }
      int length = Integer.parseInt(size.split(";")[0].trim(), 16);
      fixed(in, length, body);
      if (length == 0) {
        String trailer = line(in);
        while (trailer != null && !trailer.isEmpty()) {
          trailer = line(in);
        }
        if (trailer == null) {
          throw new EOFException("end in the trailer");
        }
        return;
      }
      line(in);
    }
  }

  static Answer answer(InputStream in) {
    Head head = null;
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      head = head(in);
      while (head != null && head.status() / 100 == 1) {
        head = head(in);
      }
      if (head == null) {
        return new Answer(null, new byte[0], false, "closed without an answer");
      }
      if (head.field("transfer-encoding") != null) {
        chunks(in, body);
      } else if (head.field("content-length") != null) {
        fixed(in, Long.parseLong(head.field("content-length")), body);
      } else if (head.status() != 204 && head.status() != 304) {
        in.transferTo(body);
      }
      return new Answer(head, body.toByteArray(), true, "complete");
    } catch (IOException e) {
      return new Answer(head, body.toByteArray(), false, String.valueOf(e.getMessage()));
    }
  }
}
