import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;

/** The platform's interface for duties. It accepts each call. */
final class Cloud {
  private final HttpServer server;

  Cloud() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "cloud");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext(
        "/",
        exchange -> {
          exchange.getRequestBody().readAllBytes();
          exchange.sendResponseHeaders(200, -1);
          exchange.close();
        });
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }
}
