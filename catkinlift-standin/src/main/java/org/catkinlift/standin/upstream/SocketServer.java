package org.catkinlift.standin.upstream;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.catkinlift.model.NetworkAddress;
import org.catkinlift.standin.FreePorts;

/** Accepts connections on a loopback address, and serves each on a thread of its own. */
final class SocketServer implements Closeable {
  /** Leaves the size of the receive buffers to the system. */
  static final int SYSTEM_BUFFER_SIZE = 0;

  private static final int CONNECTION_BACKLOG = 50;

  private final NetworkAddress address = FreePorts.findOne("127.0.0.1");
  private final ServerSocket server = new ServerSocket();
  private final String name;
  private final ConnectionHandler handler;

  /** Serves one connection. */
  interface ConnectionHandler {
    /** Serves a connection and handles its failures. */
    void serve(Socket socket);
  }

  /**
   * Starts the server.
   *
   * @param name the name of its threads
   * @param receiveBufferBytes the size of the receive buffer of each connection, or {@link
   *     #SYSTEM_BUFFER_SIZE}
   * @param handler serves the connections
   * @throws IOException if the address is in use
   */
  SocketServer(String name, int receiveBufferBytes, ConnectionHandler handler) throws IOException {
    this.name = name;
    this.handler = handler;
    if (receiveBufferBytes != SYSTEM_BUFFER_SIZE) {
      server.setReceiveBufferSize(receiveBufferBytes);
    }
    server.bind(
        new InetSocketAddress(InetAddress.getByName(address.ip()), address.port()),
        CONNECTION_BACKLOG);
    startThread(this::accept);
  }

  NetworkAddress address() {
    return address;
  }

  private void startThread(Runnable task) {
    var thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        startThread(() -> handler.serve(socket));
      }
    } catch (IOException e) {
      if (!server.isClosed()) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /** Stops accepting connections. */
  @Override
  public void close() throws IOException {
    server.close();
  }
}
