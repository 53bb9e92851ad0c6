import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Passes connections on to a port, and can reset those that are open. */
final class Relay {
  private final ServerSocket server;
  private final int target;
  private final List<Link> links = new ArrayList<>();

  private record Link(Socket near, Socket far, StringBuilder firstLine) {}

  Relay(int target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Thread.startVirtualThread(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        var link = new Link(near, new Socket("127.0.0.1", target), new StringBuilder());
        near.setTcpNoDelay(true);
        link.far().setTcpNoDelay(true);
        synchronized (this) {
          links.add(link);
        }
        Thread.startVirtualThread(() -> copy(link, link.near(), link.far(), true));
        Thread.startVirtualThread(() -> copy(link, link.far(), link.near(), false));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void copy(Link link, Socket from, Socket to, boolean isCall) {
    byte[] buffer = new byte[1 << 14];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        if (isCall) {
          synchronized (this) {
            link.firstLine().setLength(0);
            link.firstLine().append(new String(buffer, 0, Math.min(length, 60)).split("\r\n")[0]);
          }
        }
        out.write(buffer, 0, length);
      }
    } catch (IOException e) {
      // One side has closed or reset the connection.
    }
    synchronized (this) {
      links.remove(link);
    }
  }

  /** Resets the connections whose last call begins with a text; returns how many of how many. */
  synchronized String reset(String callPrefix) throws IOException {
    int count = 0;
    int all = links.size();
    for (Link link : List.copyOf(links)) {
      if (link.firstLine().toString().startsWith(callPrefix)) {
        link.near().setSoLinger(true, 0);
        link.near().close();
        link.far().close();
        count++;
      }
    }
    return count + " of " + all;
  }

  void close() throws IOException {
    server.close();
  }
}
