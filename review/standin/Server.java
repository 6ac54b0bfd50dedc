import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stand-in of a server of a service: announces itself, and passes each request to a handler. */
final class Server implements AutoCloseable {
  private static final long BEAT_MS = 1_200;

  private final Store store;
  final String id;
  final String service;
  private final String extraFields;
  private final Handler handler;
  private final long bornMs = System.currentTimeMillis();
  private final ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  /** All requests that arrived, in their order. */
  final List<Request> requests = new CopyOnWriteArrayList<>();

  /** A request as the server got it. */
  record Request(String line, Map<String, String> headers, byte[] body) {
    String id() {
      return headers.getOrDefault("x-attempt-id", "-");
    }

    String method() {
      return line.split(" ")[0];
    }
  }

  /** Answers one request by writing to its connection; an exception closes the connection. */
  interface Handler {
    void answer(Request request, OutputStream out) throws Exception;
  }

  Server(Store store, String id, String service, String extraFields, Handler handler)
      throws IOException {
    this.store = store;
    this.id = id;
    this.service = service;
    this.extraFields = extraFields;
    this.handler = handler;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    start("accept", this::accept);
    start("beat", this::beat);
  }

  private static void start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void beat() {
    long sequence = 0;
    try {
      while (!closed) {
        store.put(
            "keyed.servers",
            id,
            """
            {"Service":"%s","Address":"%s","Zone":"z-a","Version":"v1","Slots":16,"State":"ready",\
            "ColdRemainingMs":0,"Sequence":%d,"born":%d%s}"""
                .formatted(service, address(), ++sequence, bornMs, extraFields));
        Thread.sleep(BEAT_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void accept() {
    while (!closed) {
      try {
        Socket connection = listener.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        start("connection", () -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      while (true) {
        String line = Wire.readLine(in);
        Map<String, String> headers = Wire.readHeaders(in);
        Request request = new Request(line, headers, Wire.readBody(in, headers, false));
        if (line.startsWith("GET /health ")) {
          write(connection.getOutputStream(), "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id
              + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        if (!headers.getOrDefault("x-expect-instance", id).equals(id)) {
          write(connection.getOutputStream(), "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: "
              + id + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        requests.add(request);
        handler.answer(request, connection.getOutputStream());
      }
    } catch (Exception e) {
      // The connection ended, or the handler broke it off.
    } finally {
      connections.remove(connection);
    }
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Writes a sealed success. */
  static void writeSuccess(OutputStream out, Request request, String body) throws IOException {
    write(
        out,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id() + "\r\nX-Server-Seal: seal-"
            + request.id() + "\r\nContent-Type: text/plain\r\nContent-Length: " + body.length()
            + "\r\n\r\n" + (request.method().equals("HEAD") ? "" : body));
  }

  /** Ends the server as a crash does: its listener and its connections are gone at once. */
  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
