import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Start line and headers of an HTTP/1.1 message; names of headers are in lower case. */
record Head(String startLine, Map<String, String> headers) {
  /** Reads a head; empty if the stream ends before its first byte. */
  static Optional<Head> read(InputStream in) throws IOException {
    Optional<String> start = readLine(in);
    if (start.isEmpty()) {
      return Optional.empty();
    }
    Map<String, String> headers = new LinkedHashMap<>();
    while (true) {
      String line = readLine(in).orElseThrow(() -> new IOException("closed within a head"));
      if (line.isEmpty()) {
        return Optional.of(new Head(start.get(), headers));
      }
      int colon = line.indexOf(':');
      if (colon < 0) {
        throw new IOException("no header: " + line);
      }
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
  }

  Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
  }

  /** Returns the status of a response. */
  int status() throws IOException {
    String[] parts = startLine.split(" ", 3);
    if (parts.length < 2 || !parts[0].startsWith("HTTP/1.") || !parts[1].matches("\\d{3}")) {
      throw new IOException("no response: " + startLine);
    }
    return Integer.parseInt(parts[1]);
  }

  static Optional<String> readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (line.isEmpty()) {
          return Optional.empty();
        }
        throw new IOException("closed within a line");
      }
      if (next == '\n') {
        int end = line.length();
        return Optional.of(
            end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString());
      }
      line.append(new String(new byte[] {(byte) next}, StandardCharsets.ISO_8859_1));
    }
  }
}
