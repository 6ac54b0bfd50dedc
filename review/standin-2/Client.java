import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client's connection to an entry. */
final class Client implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private final Socket socket;
  private final InputStream in;

  Client(int port) throws IOException {
    this(port, 0);
  }

  /** Opens a connection with a receive buffer of some bytes; 0 leaves the default. */
  Client(int port, int receiveBytes) throws IOException {
    socket = new Socket();
    if (receiveBytes > 0) {
      socket.setReceiveBufferSize(receiveBytes);
    }
    socket.setTcpNoDelay(true);
    socket.connect(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
    in = new BufferedInputStream(socket.getInputStream(), 4096);
  }

  /** What a client got: status 0 if the connection ended or nothing came in time. */
  record Answer(int status, boolean sealed, boolean complete, byte[] body, String end) {}

  Client send(String method, String path, String id, String more, byte[] body)
      throws IOException {
    String head =
        "%s %s HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: %s\r\n%s%s\r\n"
            .formatted(
                method,
                path,
                id,
                more,
                method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(body);
    socket.getOutputStream().write(bytes.toByteArray());
    socket.getOutputStream().flush();
    return this;
  }

  void setTimeoutMs(int timeoutMs) throws IOException {
    socket.setSoTimeout(timeoutMs);
  }

  /** Reads the answer as fast as it comes. */
  Answer readAll() {
    return readSlowly(0, 0);
  }

  /** Reads the body of the answer at a limited rate for some time, then as fast as it comes. */
  Answer readSlowly(int bytesPerS, long slowMs) {
    long slowUntilNanos = System.nanoTime() + slowMs * 1_000_000;
    int status = 0;
    boolean sealed = false;
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      Head head = Head.read(in).orElseThrow(() -> new IOException("closed without an answer"));
      status = head.status();
      sealed = head.header("x-server-seal").isPresent();
      if (head.header("transfer-encoding").orElse("").equals("chunked")) {
        readChunks(body);
      } else {
        int length = Integer.parseInt(head.header("content-length").orElse("0"));
        byte[] buffer = new byte[8 * 1024];
        while (body.size() < length) {
          int count = in.read(buffer, 0, Math.min(buffer.length, length - body.size()));
          if (count < 0) {
            throw new IOException("closed after " + body.size() + " of " + length + " bytes");
          }
          body.write(buffer, 0, count);
          if (System.nanoTime() < slowUntilNanos) {
            Thread.sleep(1_000L * count / bytesPerS);
          }
        }
      }
      return new Answer(status, sealed, true, body.toByteArray(), "complete");
    } catch (SocketTimeoutException e) {
      return new Answer(status, sealed, false, body.toByteArray(), "nothing came in time");
    } catch (IOException e) {
      return new Answer(status, sealed, false, body.toByteArray(), String.valueOf(e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(status, sealed, false, body.toByteArray(), "interrupted");
    }
  }

  private void readChunks(ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = Head.readLine(in).orElseThrow(() -> new IOException("closed within chunks"));
      int length = Integer.parseInt(size.trim(), 16);
      byte[] chunk = in.readNBytes(length);
      if (chunk.length < length) {
        throw new IOException("closed within a chunk");
      }
      body.writeBytes(chunk);
      Head.readLine(in).orElseThrow(() -> new IOException("closed within chunks"));
      if (length == 0) {
        return;
      }
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
