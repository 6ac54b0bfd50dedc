package io.samphiregauge.daemon.traffic;

import io.samphiregauge.net.Address;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Blocking HTTP client on one connection, which gives tests control over each byte sent. */
final class RawCaller implements AutoCloseable {
  private static final int TIMEOUT_MS = 20_000;

  private final Socket socket;
  private final InputStream in;

  RawCaller(Address address) {
    try {
      socket = new Socket();
      socket.setReceiveBufferSize(16 * 1024);
      socket.setSoTimeout(TIMEOUT_MS);
      socket.setTcpNoDelay(true);
      socket.connect(address.toSocketAddress());
      in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** A response; {@code complete} is false if the connection closed before its end. */
  record Response(int status, String head, String body, boolean complete) {}

  RawCaller send(String bytes) {
    try {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      return this;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  Response exchange(String method, String path, String headers, String body) {
    return send(request(method, path, headers, body)).read();
  }

  /** Sends a completion request with the test's key and reads the response. */
  Response requestCompletion(String body) {
    return exchange("POST", "/v1/completions", keyHeader(TestEntry.KEY), body);
  }

  static String keyHeader(String key) {
    return "Authorization: Bearer " + key + "\r\n";
  }

  static String request(String method, String path, String headers, String body) {
    return "%s %s HTTP/1.1\r\nHost: entry\r\n%sContent-Length: %d\r\n\r\n%s"
        .formatted(method, path, headers, body.length(), body);
  }

  Response read() {
    try {
      String head = readHead();
      if (head.isEmpty()) {
        return new Response(0, "", "", false);
      }
      int status = Integer.parseInt(head.substring(9, 12));
      String lower = head.toLowerCase(Locale.ROOT);
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      boolean complete =
          lower.contains("transfer-encoding: chunked")
              ? readChunks(body)
              : readFully(body, contentLength(lower));
      return new Response(status, head, body.toString(StandardCharsets.UTF_8), complete);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Waits for the next byte and returns whether the entry has closed the connection. */
  boolean isClosed() {
    try {
      return in.read() < 0;
    } catch (IOException e) {
      return true;
    }
  }

  private String readHead() throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return head.toString();
      }
      head.append((char) next);
    }
    return head.toString();
  }

  private boolean readChunks(ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = readLine();
      if (size.isEmpty()) {
        return false;
      }
      int length = Integer.parseInt(size, 16);
      boolean complete = readFully(body, length);
      readLine();
      if (length == 0 || !complete) {
        return complete;
      }
    }
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  private boolean readFully(ByteArrayOutputStream body, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    body.writeBytes(bytes);
    return bytes.length == length;
  }

  private static int contentLength(String head) {
    int start = head.indexOf("content-length: ");
    return start < 0 ? 0 : Integer.parseInt(head.substring(start + 16, head.indexOf('\r', start)));
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
