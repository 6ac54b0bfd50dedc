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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's store: topics, keyed topics and one group, all in memory. */
final class Store implements AutoCloseable {
  private static final int PAGE_ITEMS = 500;

  private final HttpServer server;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
          });
  private final Map<String, Log> logs = new HashMap<>();
  private final LinkedHashMap<String, Long> memberExpiryNanos = new LinkedHashMap<>();
  private long generation;
  private volatile boolean down;
  private final Map<String, Long> joins = new HashMap<>();

  private static final class Log {
    final List<byte[]> records = new ArrayList<>();
    final LinkedHashMap<String, byte[]> newest = new LinkedHashMap<>();
  }

  private record Answer(int status, byte[] body) {}

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Makes the store answer 503 to every call, which means that nothing was done. */
  void setDown(boolean isDown) {
    synchronized (this) {
      down = isDown;
      notifyAll();
    }
  }

  /** Writes a record of the operator or of a server; the return is the acknowledgement. */
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

  /** Waits until a member of the group joins again; its name begins with that of its VM. */
  synchronized void awaitJoin(String vm, long timeoutMs) throws InterruptedException {
    long before = joins.getOrDefault(vm, 0L);
    long endNanos = System.nanoTime() + timeoutMs * 1_000_000;
    while (joins.getOrDefault(vm, 0L) == before && System.nanoTime() < endNanos) {
      wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
    }
  }

  private void append(String topic, byte[] content) {
    Log log = log(topic);
    log.records.add(content);
    if (topic.startsWith("keyed.")) {
      int keyLength = content[0] & 0xff;
      String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
      byte[] value = Arrays.copyOfRange(content, 1 + keyLength, content.length);
      log.newest.remove(key);
      if (value.length > 0) {
        log.newest.put(key, value);
      }
    }
    notifyAll();
  }

  private Log log(String topic) {
    return logs.computeIfAbsent(topic, name -> new Log());
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    Answer answer;
    try {
      answer = answer(exchange.getRequestURI().getPath(), query(exchange), body);
    } catch (InterruptedException e) {
      answer = new Answer(503, new byte[0]);
    }
    exchange.sendResponseHeaders(
        answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
    if (answer.body().length > 0) {
      exchange.getResponseBody().write(answer.body());
    }
    exchange.close();
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    for (String part : (raw == null ? "" : raw).split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        values.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  private synchronized Answer answer(String path, Map<String, String> query, byte[] body)
      throws InterruptedException {
    if (down) {
      return new Answer(503, new byte[0]);
    }
    return switch (path) {
      case "/api/log-append" -> answerAppend(query, body);
      case "/api/log-read" -> answerRead(query);
      case "/api/log-newest" -> answerNewest(query);
      case "/api/log-join" -> answerJoin(new String(body, StandardCharsets.UTF_8));
      case "/api/log-leave" -> answerLeave(new String(body, StandardCharsets.UTF_8));
      case "/api/log-owners" -> json(200, "{\"parts\":[" + ownerRows() + "]}");
      default -> new Answer(404, new byte[0]);
    };
  }

  private static Answer json(int status, String text) {
    return new Answer(status, text.getBytes(StandardCharsets.UTF_8));
  }

  private Answer answerAppend(Map<String, String> query, byte[] body) {
    Log log = log(query.get("Topic"));
    int end = log.records.size();
    if (query.containsKey("At") && Long.parseLong(query.get("At")) != end) {
      return json(412, "{\"EndOffset\":" + end + "}");
    }
    ByteBuffer records = ByteBuffer.wrap(body);
    while (records.hasRemaining()) {
      byte[] content = new byte[records.getInt()];
      records.get(content);
      append(query.get("Topic"), content);
    }
    return json(200, "{\"Offset\":" + end + ",\"EndOffset\":" + log.records.size() + "}");
  }

  private Answer answerRead(Map<String, String> query) throws InterruptedException {
    Log log = log(query.get("Topic"));
    int from = Integer.parseInt(query.get("From"));
    long waitMs = Long.parseLong(query.getOrDefault("WaitMs", "0"));
    long endNanos = System.nanoTime() + waitMs * 1_000_000;
    while (from >= log.records.size() && !down && System.nanoTime() < endNanos) {
      wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
    }
    if (down) {
      return new Answer(503, new byte[0]);
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(ByteBuffer.allocate(16).putLong(log.records.size()).putLong(0).array());
    for (int offset = from; offset < log.records.size(); offset++) {
      byte[] content = log.records.get(offset);
      bytes.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
      bytes.writeBytes(content);
    }
    return new Answer(200, bytes.toByteArray());
  }

  private Answer answerNewest(Map<String, String> query) {
    Log log = log(query.get("Topic"));
    List<String> keys = log.newest.keySet().stream().sorted().toList();
    List<String> page =
        keys.stream()
            .filter(key -> !query.containsKey("after") || key.compareTo(query.get("after")) > 0)
            .limit(PAGE_ITEMS)
            .toList();
    List<String> items = new ArrayList<>();
    for (String key : page) {
      String value = Base64.getEncoder().encodeToString(log.newest.get(key));
      items.add("{\"Key\":\"" + key + "\",\"Value\":\"" + value + "\",\"Offset\":0}");
    }
    boolean more = !page.isEmpty() && !page.get(page.size() - 1).equals(keys.get(keys.size() - 1));
    return json(
        200,
        "{\"items\":[%s],\"MorePages\":%b,\"EndOffset\":%d}"
            .formatted(String.join(",", items), more, log.records.size()));
  }

  private Answer answerJoin(String body) {
    long ttlNanos = Long.parseLong(field(body, "TtlMs", "(\\d+)")) * 1_000_000;
    expireMembers();
    String member = field(body, "Member", "\"([^\"]*)\"");
    joins.merge(member.split("\\|")[0], 1L, Long::sum);
    notifyAll();
    if (memberExpiryNanos.put(member, System.nanoTime() + ttlNanos) == null) {
      generation++;
    }
    return json(200, "{\"Generation\":" + generation + ",\"parts\":[]}");
  }

  private void expireMembers() {
    if (memberExpiryNanos.values().removeIf(expiry -> expiry - System.nanoTime() < 0)) {
      generation++;
    }
  }

  private Answer answerLeave(String body) {
    if (memberExpiryNanos.remove(field(body, "Member", "\"([^\"]*)\"")) != null) {
      generation++;
    }
    return json(200, "{\"Generation\":" + generation + "}");
  }

  private static String field(String json, String name, String valuePattern) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*" + valuePattern).matcher(json);
    if (!matcher.find()) {
      throw new IllegalArgumentException(name + " is missing in " + json);
    }
    return matcher.group(1);
  }

  private String ownerRows() {
    expireMembers();
    List<String> rows = new ArrayList<>();
    for (String member : memberExpiryNanos.keySet()) {
      rows.add("[\"entries-0\"," + rows.size() + ",\"" + member + "\",0]");
    }
    return String.join(",", rows);
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
