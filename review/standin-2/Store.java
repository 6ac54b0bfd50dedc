import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's metadata store: one partition of each topic, and one group. */
final class Store {
  private static final Pattern MEMBER = Pattern.compile("\"Member\":(\"(?:[^\"\\\\]|\\\\.)*\")");
  private static final Pattern TTL = Pattern.compile("\"TtlMs\":(\\d+)");

  private final HttpServer server;
  private final Map<String, Log> logs = new HashMap<>();
  private final Map<String, Long> expiryMsByMember = new LinkedHashMap<>();
  private long generation;

  private static final class Log {
    final List<byte[]> records = new ArrayList<>();
    final Map<String, byte[]> newest = new LinkedHashMap<>();
    final Map<String, Long> newestOffset = new HashMap<>();
  }

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes a record as the operator or a server does; an empty value drops the key. */
  synchronized void put(String topic, String key, String value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
    append(
        topic,
        ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
            .put((byte) keyBytes.length)
            .put(keyBytes)
            .put(valueBytes)
            .array());
  }

  private void append(String topic, byte[] content) {
    Log log = logs.computeIfAbsent(topic, name -> new Log());
    log.records.add(content);
    if (topic.startsWith("keyed.")) {
      int keyLength = content[0] & 0xff;
      String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
      byte[] value = Arrays.copyOfRange(content, 1 + keyLength, content.length);
      if (value.length == 0) {
        log.newest.remove(key);
      } else {
        log.newest.put(key, value);
        log.newestOffset.put(key, log.records.size() - 1L);
      }
    }
    notifyAll();
  }

  private record Response(int status, byte[] body) {
    static Response json(int status, String json) {
      return new Response(status, json.getBytes(StandardCharsets.UTF_8));
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    Response response;
    try {
      response =
          respond(exchange.getRequestURI().getPath(), query(exchange), body);
    } catch (InterruptedException e) {
      response = new Response(503, new byte[0]);
    }
    int length = response.body().length;
    exchange.sendResponseHeaders(response.status(), length == 0 ? -1 : length);
    if (length > 0) {
      exchange.getResponseBody().write(response.body());
    }
    exchange.close();
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> parameters = new HashMap<>();
    String text = exchange.getRequestURI().getRawQuery();
    for (String part : text == null ? new String[0] : text.split("&")) {
      int equals = part.indexOf('=');
      parameters.put(
          part.substring(0, equals),
          URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return parameters;
  }

  private synchronized Response respond(String path, Map<String, String> query, byte[] body)
      throws InterruptedException {
    String text = new String(body, StandardCharsets.UTF_8);
    return switch (path) {
      case "/api/log-append" -> handleAppend(query, body);
      case "/api/log-read" -> handleRead(query);
      case "/api/log-newest" -> handleNewest(query);
      case "/api/log-join" -> handleJoin(text);
      case "/api/log-leave" -> handleLeave(text);
      case "/api/log-owners" -> Response.json(200, "{\"parts\":" + ownerRows() + "}");
      default -> new Response(404, new byte[0]);
    };
  }

  private Log logOf(Map<String, String> query) {
    return logs.computeIfAbsent(query.get("Topic"), name -> new Log());
  }

  private Response handleAppend(Map<String, String> query, byte[] body) {
    Log log = logOf(query);
    long end = log.records.size();
    if (query.containsKey("At") && Long.parseLong(query.get("At")) != end) {
      return Response.json(412, "{\"EndOffset\":" + end + "}");
    }
    ByteBuffer records = ByteBuffer.wrap(body);
    while (records.hasRemaining()) {
      byte[] content = new byte[records.getInt()];
      records.get(content);
      append(query.get("Topic"), content);
    }
    return Response.json(
        200, "{\"Offset\":" + end + ",\"EndOffset\":" + log.records.size() + "}");
  }

  private Response handleRead(Map<String, String> query) throws InterruptedException {
    Log log = logOf(query);
    int from = Integer.parseInt(query.get("From"));
    long waitMs = Long.parseLong(query.getOrDefault("WaitMs", "0"));
    long endNanos = System.nanoTime() + waitMs * 1_000_000;
    while (from >= log.records.size() && System.nanoTime() < endNanos) {
      wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(ByteBuffer.allocate(16).putLong(log.records.size()).putLong(0).array());
    for (int offset = from; offset < log.records.size() && bytes.size() < 1 << 20; offset++) {
      byte[] content = log.records.get(offset);
      bytes.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
      bytes.writeBytes(content);
    }
    return new Response(200, bytes.toByteArray());
  }

  private Response handleNewest(Map<String, String> query) {
    Log log = logOf(query);
    List<String> items = new ArrayList<>();
    log.newest.forEach(
        (key, value) ->
            items.add(
                "{\"Key\":\"%s\",\"Value\":\"%s\",\"Offset\":%d}"
                    .formatted(
                        key,
                        Base64.getEncoder().encodeToString(value),
                        log.newestOffset.get(key))));
    return Response.json(
        200,
        "{\"items\":["
            + String.join(",", items)
            + "],\"MorePages\":false,\"EndOffset\":"
            + log.records.size()
            + "}");
  }

  private Response handleJoin(String body) {
    long nowMs = System.nanoTime() / 1_000_000;
    if (expiryMsByMember.values().removeIf(expiryMs -> expiryMs < nowMs)) {
      generation++;
    }
    if (expiryMsByMember.put(find(MEMBER, body), nowMs + Long.parseLong(find(TTL, body)))
        == null) {
      generation++;
    }
    return Response.json(200, "{\"Generation\":" + generation + ",\"parts\":[]}");
  }

  private Response handleLeave(String body) {
    expiryMsByMember.remove(find(MEMBER, body));
    generation++;
    return Response.json(200, "{}");
  }

  private String ownerRows() {
    List<String> rows = new ArrayList<>();
    expiryMsByMember
        .keySet()
        .forEach(member -> rows.add("[\"entries-0\"," + rows.size() + "," + member + ",0]"));
    return "[" + String.join(",", rows) + "]";
  }

  private static String find(Pattern pattern, String text) {
    Matcher matcher = pattern.matcher(text);
    if (!matcher.find()) {
      throw new IllegalArgumentException(pattern + " is missing in " + text);
    }
    return matcher.group(1);
  }
}
