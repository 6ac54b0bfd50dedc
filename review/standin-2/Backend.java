import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server of a service: one thread for each connection, a behaviour for each request. */
final class Backend {
  /** Answers a request; returns whether the connection stays open. */
  @FunctionalInterface
  interface Behaviour {
    boolean answer(Head request, byte[] body, OutputStream out, Socket socket) throws Exception;
  }

  private final ServerSocket listener;
  private final String id;
  private final Behaviour behaviour;

  Backend(String id, Behaviour behaviour) throws IOException {
    this.id = id;
    this.behaviour = behaviour;
    listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    start("accept-" + id, this::accept);
  }

  static void start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  String id() {
    return id;
  }

  /** Returns the value of the announcement of this server. */
  String announcement(String service, String zone, int slots, long bornMs) {
    return ("{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\",\"Version\":\"v1\",\"Slots\":%d,"
            + "\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":0,\"born\":%d}")
        .formatted(service, address(), zone, slots, bornMs);
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        start("serve-" + id, () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        var head = Head.read(in);
        if (head.isEmpty()) {
          return;
        }
        int length = Integer.parseInt(head.get().header("content-length").orElse("0"));
        byte[] body = in.readNBytes(length);
        if (!head.get().header("x-expect-instance").orElse(id).equals(id)) {
          write(socket.getOutputStream(), "HTTP/1.1 421 Misdirected Request\r\n"
              + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        if (!behaviour.answer(head.get(), body, socket.getOutputStream(), socket)) {
          return;
        }
      }
    } catch (Exception e) {
      // The caller has closed or reset its connection.
    }
  }

  /** Returns the head of a sealed answer with a length. */
  static String sealedHead(Head request, int status, int length) {
    return "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Server-Seal: 1.2.3\r\nContent-Length: %d\r\n\r\n"
        .formatted(status, request.header("x-attempt-id").orElse(""), length);
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
