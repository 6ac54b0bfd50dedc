import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A client's connection; also reads the heads and bodies of HTTP messages for servers. */
final class Wire implements AutoCloseable {
  private static final int MAX_LINE = 64 * 1024;

  final Socket socket;
  final InputStream in;

  /** A complete answer. */
  record Answer(int status, Map<String, String> headers, byte[] body) {
    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** Bytes that are no answer in the protocol. */
  static final class NoAnswer extends IOException {
    private static final long serialVersionUID = 1L;

    NoAnswer(String message) {
      super(message);
    }
  }

  Wire(int port, int timeoutMs) throws IOException {
    socket = new Socket();
    socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMs);
    in = new BufferedInputStream(socket.getInputStream());
  }

  void send(String text) throws IOException {
    send(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
  }

  /** Reads one answer; the answer to a HEAD request has no body. */
  Answer readAnswer(boolean toHead) throws IOException {
    String line = readLine(in);
    if (!line.matches("HTTP/1\\.[01] \\d{3}( .*)?")) {
      throw new NoAnswer("no status line: " + line);
    }
    int status = Integer.parseInt(line.substring(9, 12));
    Map<String, String> headers = readHeaders(in);
    byte[] body =
        toHead || status == 204 || status == 304 ? new byte[0] : readBody(in, headers, true);
    return new Answer(status, headers, body);
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("the connection ended after: " + line);
      }
      if (line.size() > MAX_LINE) {
        throw new NoAnswer("a line without end");
      }
      line.write(b);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      if (colon <= 0) {
        throw new NoAnswer("no header: " + line);
      }
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return headers;
  }

  /** Reads a body by its length or its chunks; otherwise to the end of an answer's connection. */
  static byte[] readBody(InputStream in, Map<String, String> headers, boolean answer)
      throws IOException {
    if (headers.containsKey("transfer-encoding")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
        body.write(readFully(in, size));
        if (size == 0) {
          readHeaders(in);
          return body.toByteArray();
        }
        readLine(in);
      }
    }
    if (headers.containsKey("content-length")) {
      return readFully(in, Integer.parseInt(headers.get("content-length")));
    }
    return answer ? in.readAllBytes() : new byte[0];
  }

  private static byte[] readFully(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("the body ended after " + bytes.length + " of " + size + " bytes");
    }
    return bytes;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
