import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins of the platform's store, its API and its servers, and the entry processes under test. */
final class Standins {
  static final String HOST = "shop.example";
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  private static final java.util.Random RANDOM = new java.security.SecureRandom();
  private static final Set<Integer> GIVEN_PORTS = new HashSet<>();

  private Standins() {}

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(null, task, "standin", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Returns a free port below those that the system gives to outgoing connections. */
  static synchronized int freePort() {
    for (int tries = 0; tries < 1_000; tries++) {
      int port = 12_000 + RANDOM.nextInt(18_000);
      if (!GIVEN_PORTS.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK)) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // Taken.
      }
    }
    throw new IllegalStateException("no free port");
  }

  /** The record of a run: what was sent, answered and run. */
  static final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startMs = nowMs();

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String format, Object... values) {
      out.printf("%7.3f %s%n", (nowMs() - startMs) / 1000.0, String.format(format, values));
      out.flush();
    }

    @Override
    public void close() {
      out.close();
    }
  }

  /** A request as a server reads it; names of headers are in lower case. */
  record Request(String method, String uri, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(), "");
    }

    String path() {
      return uri.replaceAll("\\?.*", "");
    }

    String query(String name) {
      Matcher found = Pattern.compile("[?&]" + name + "=([^&]*)").matcher(uri);
      return found.find() ? URLDecoder.decode(found.group(1), StandardCharsets.UTF_8) : "";
    }
  }

  /** Reads a line without its end; null at the end of the stream. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(b);
    }
    return null;
  }

  static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); ; line = readLine(in)) {
      if (line == null) {
        throw new EOFException("in a head");
      }
      if (line.isEmpty()) {
        return headers;
      }
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
    }
  }

  /** Reads the next request; null if the connection ended before it. */
  static Request readRequest(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null || line.isEmpty()) {
      return null;
    }
    String[] words = line.split(" ");
    Map<String, String> headers = readHeaders(in);
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      return null;
    }
    return new Request(words[0], words[1], headers, body);
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  /** Answers one request; returns whether the connection stays open. */
  interface Handler {
    boolean handle(Request request, Socket socket, OutputStream out) throws IOException;
  }

  /** An HTTP server on a loopback address that can end like a process and start again. */
  static class HttpStandin {
    final int port = freePort();
    private final List<Socket> sockets = new ArrayList<>();
    private ServerSocket listener;
    volatile Handler handler;

    HttpStandin(Handler handler) {
      this.handler = handler;
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    synchronized void open() {
      try {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(LOOPBACK, port), 512);
        listener = opened;
        daemon(() -> accept(opened));
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    private void accept(ServerSocket opened) {
      while (true) {
        try {
          Socket socket = opened.accept();
          socket.setTcpNoDelay(true);
          synchronized (this) {
            sockets.add(socket);
          }
          daemon(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (Request request = readRequest(in); request != null; request = readRequest(in)) {
          if (!handler.handle(request, socket, socket.getOutputStream())) {
            return;
          }
        }
      } catch (IOException | RuntimeException e) {
        // The connection has ended.
      } finally {
        synchronized (this) {
          sockets.remove(socket);
        }
      }
    }

    /** Ends the listener and resets all connections, as a crash does. */
    synchronized void crash() {
      try {
        if (listener != null) {
          listener.close();
        }
        for (Socket socket : List.copyOf(sockets)) {
          socket.setSoLinger(true, 0);
          socket.close();
        }
      } catch (IOException e) {
        // It has ended.
      }
    }
  }

  /** The platform's store: topics of one partition, groups, and the era of restores. */
  static final class Store extends HttpStandin {
    private static final class Topic {
      final List<byte[]> records = new ArrayList<>();
      final TreeMap<String, byte[]> newest = new TreeMap<>();
      final Map<String, Long> offsets = new HashMap<>();
    }

    /** Turns a call away or handles it in another way; returns whether it did. */
    interface Fault {
      boolean apply(Request request, Socket socket, OutputStream out) throws IOException;
    }

    private Map<String, Topic> topics = new HashMap<>();
    private final LinkedHashMap<String, Long> members = new LinkedHashMap<>();
    private long generation = 1;
    private long era;
    volatile Fault fault = (request, socket, out) -> false;

    Store() {
      super(null);
      handler = this::answer;
      open();
    }

    synchronized void put(String topic, String key, String value) {
      byte[] k = key.getBytes(StandardCharsets.UTF_8);
      byte[] v = value.getBytes(StandardCharsets.UTF_8);
      append(
          topic, ByteBuffer.allocate(1 + k.length + v.length).put((byte) k.length).put(k).put(v).array());
    }

    private Topic topic(String name) {
      return topics.computeIfAbsent(name, n -> new Topic());
    }

    private void append(String name, byte[] content) {
      Topic topic = topic(name);
      topic.records.add(content);
      if (name.startsWith("keyed.")) {
        int length = content[0] & 0xff;
        String key = new String(content, 1, length, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(content, 1 + length, content.length);
        if (value.length == 0) {
          topic.newest.remove(key);
        } else {
          topic.newest.put(key, value);
        }
        topic.offsets.put(key, topic.records.size() - 1L);
      }
      notifyAll();
    }

    synchronized Map<String, Topic> copy() {
      Map<String, Topic> copies = new HashMap<>();
      topics.forEach(
          (name, topic) -> {
            Topic copied = new Topic();
            copied.records.addAll(topic.records);
            copied.newest.putAll(topic.newest);
            copied.offsets.putAll(topic.offsets);
            copies.put(name, copied);
          });
      return copies;
    }

    /** Comes back from a copy; the operator and the servers write their newest records again. */
    synchronized void restore(Map<String, Topic> copied) {
      Map<String, Topic> before = topics;
      topics = copied;
      era++;
      for (String name : List.of("keyed.op", "keyed.servers")) {
        Topic old = before.getOrDefault(name, new Topic());
        for (String key : List.copyOf(topic(name).newest.keySet())) {
          if (!old.newest.containsKey(key)) {
            put(name, key, "");
          }
        }
        old.newest.forEach((key, value) -> put(name, key, new String(value, StandardCharsets.UTF_8)));
      }
      notifyAll();
    }

    private boolean answer(Request request, Socket socket, OutputStream out) throws IOException {
      if (fault.apply(request, socket, out)) {
        return false;
      }
      byte[] body;
      int status = 200;
      synchronized (this) {
        String name = request.query("Topic");
        switch (request.path()) {
          case "/api/log-append" -> {
            Topic topic = topic(name);
            String at = request.query("At");
            if (!at.isEmpty() && Long.parseLong(at) != topic.records.size()) {
              status = 412;
              body = json("{\"EndOffset\":%d}", topic.records.size());
            } else {
              long offset = topic.records.size();
              ByteBuffer records = ByteBuffer.wrap(request.body());
              while (records.hasRemaining()) {
                byte[] content = new byte[records.getInt()];
                records.get(content);
                append(name, content);
              }
              body = json("{\"Offset\":%d,\"EndOffset\":%d}", offset, topic.records.size());
            }
          }
          case "/api/log-read" -> {
            long from = Long.parseLong(request.query("From"));
            String wait = request.query("WaitMs");
            long endMs = nowMs() + (wait.isEmpty() ? 0 : Long.parseLong(wait));
            long firstEra = era;
            while (from == topic(name).records.size() && era == firstEra && nowMs() < endMs) {
              try {
                wait(Math.max(1, endMs - nowMs()));
              } catch (InterruptedException e) {
                return false;
              }
            }
            Topic topic = topic(name);
            if (from > topic.records.size()) {
              status = 410;
              body = json("{\"FirstOffset\":0}");
            } else {
              ByteArrayOutputStream bytes = new ByteArrayOutputStream();
              bytes.writeBytes(
                  ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
              for (byte[] content : topic.records.subList((int) from, topic.records.size())) {
                bytes.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
                bytes.writeBytes(content);
              }
              body = bytes.toByteArray();
            }
          }
          case "/api/log-newest" -> {
            Topic topic = topic(name);
            List<String> items = new ArrayList<>();
            topic.newest.forEach(
                (key, value) ->
                    items.add(
                        "{\"Key\":\"%s\",\"Value\":\"%s\",\"Offset\":%d}"
                            .formatted(
                                key,
                                Base64.getEncoder().encodeToString(value),
                                topic.offsets.get(key))));
            body =
                json(
                    "{\"items\":[%s],\"MorePages\":false,\"EndOffset\":%d}",
                    String.join(",", items), topic.records.size());
          }
          case "/api/log-join" -> {
            String text = new String(request.body(), StandardCharsets.UTF_8);
            long ttlMs = Long.parseLong(find(text, "\"TtlMs\":(\\d+)"));
            expire();
            if (members.put(find(text, "\"Member\":(\"(?:[^\"\\\\]|\\\\.)*\")"), nowMs() + ttlMs)
                == null) {
              generation++;
            }
            body = json("{\"Generation\":%d,\"parts\":[]}", generation);
          }
          case "/api/log-leave" -> {
            String text = new String(request.body(), StandardCharsets.UTF_8);
            members.remove(find(text, "\"Member\":(\"(?:[^\"\\\\]|\\\\.)*\")"));
            generation++;
            body = json("{\"Generation\":%d}", generation);
          }
          case "/api/log-owners" -> {
            expire();
            List<String> rows = new ArrayList<>();
            members.keySet().forEach(m -> rows.add("[\"entries-0\",%d,%s,0]".formatted(rows.size(), m)));
            body = json("{\"parts\":[%s]}", String.join(",", rows));
          }
          default -> {
            status = 404;
            body = json("{}");
          }
        }
      }
      String head =
          "HTTP/1.1 %d X\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
              .formatted(status, era, body.length);
      out.write(head.getBytes(StandardCharsets.UTF_8));
      out.write(body);
      out.flush();
      return true;
    }

    private void expire() {
      long now = nowMs();
      if (members.values().removeIf(end -> end < now)) {
        generation++;
      }
    }

    private static byte[] json(String format, Object... values) {
      return String.format(format, values).getBytes(StandardCharsets.UTF_8);
    }
  }

  static String find(String text, String pattern) {
    Matcher found = Pattern.compile(pattern).matcher(text);
    return found.find() ? found.group(1) : "";
  }

  /** The platform's API; accepts all calls. */
  static final class Cloud extends HttpStandin {
    final List<String> calls = java.util.Collections.synchronizedList(new ArrayList<>());

    Cloud() {
      super(null);
      handler =
          (request, socket, out) -> {
            calls.add(
                "%d %s %s %s %s"
                    .formatted(
                        nowMs(),
                        request.path(),
                        request.header("X-Duty-Holder"),
                        request.header("X-Fencing-Token"),
                        new String(request.body(), StandardCharsets.UTF_8)));
            write(out, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            return true;
          };
      open();
    }
  }

  /** A server of a service, which announces itself and repeats its announcement. */
  static final class Server extends HttpStandin {
    static final long HEARTBEAT_MS = 1_200;
    private final Store store;
    volatile String id;
    final String service;
    final String zone;
    final int slots;
    volatile String version;
    volatile String state = "ready";
    /** Further JSON fields of the announcement, each with a comma in front. */
    volatile String extra = "";
    private volatile long bornMs;
    private long sequence;
    private AtomicBoolean alive = new AtomicBoolean();

    Server(Store store, String id, String service, String version, String zone, int slots, Handler h) {
      super(h);
      this.store = store;
      this.id = id;
      this.service = service;
      this.version = version;
      this.zone = zone;
      this.slots = slots;
    }

    /** Starts: announces itself and then accepts connections. */
    void start() {
      bornMs = System.currentTimeMillis();
      sequence = 0;
      AtomicBoolean life = new AtomicBoolean(true);
      alive = life;
      announce();
      open();
      daemon(
          () -> {
            while (life.get()) {
              sleep(HEARTBEAT_MS);
              if (life.get()) {
                announce();
              }
            }
          });
    }

    synchronized void announce() {
      sequence++;
      store.put(
          "keyed.servers",
          id,
          ("{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\",\"Version\":\"%s\",\"Slots\":%d,"
                  + "\"State\":\"%s\",\"born\":%d,\"Sequence\":%d%s}")
              .formatted(service, address(), zone, version, slots, state, bornMs, sequence, extra));
    }

    /** Ends like a process that crashes; its announcement stays. */
    void kill() {
      alive.set(false);
      crash();
    }
  }

  /** A link to another address that can be cut, after which it is silent in both directions. */
  static final class Link {
    final int port = freePort();
    private final int target;
    private volatile boolean cut;

    Link(int target) throws IOException {
      this.target = target;
      ServerSocket listener = new ServerSocket(port, 64, LOOPBACK);
      daemon(
          () -> {
            while (true) {
              try {
                Socket near = listener.accept();
                awaitUncut();
                Socket far = new Socket(LOOPBACK, this.target);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                daemon(() -> forward(near, far));
                daemon(() -> forward(far, near));
              } catch (IOException e) {
                return;
              }
            }
          });
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    void cut() {
      cut = true;
    }

    void heal() {
      cut = false;
    }

    private void awaitUncut() {
      while (cut) {
        sleep(20);
      }
    }

    private void forward(Socket from, Socket to) {
      byte[] buffer = new byte[64 * 1024];
      try (from;
          to) {
        InputStream in = from.getInputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
          awaitUncut();
          to.getOutputStream().write(buffer, 0, count);
        }
        awaitUncut();
      } catch (IOException e) {
        // One side has closed.
      }
    }
  }

  /** One entry process, started with the command of the deploy file. */
  static final class Entry {
    final String vm;
    final String zone;
    final int front = freePort();
    final int ready = freePort();
    final int directory = freePort();
    final int internal0 = freePort();
    final int internal1 = freePort();
    private final Path folder;
    private final Path settings;
    private Process process;

    Entry(String vm, String zone, Store store, Cloud cloud, Path folder) throws IOException {
      this(vm, zone, store.address(), cloud.address(), folder);
    }

    Entry(String vm, String zone, String storeAddress, String cloudAddress, Path folder)
        throws IOException {
      this.vm = vm;
      this.zone = zone;
      this.folder = folder;
      this.settings = folder.resolve(vm + ".json");
      Map<String, String> values = new HashMap<>();
      values.put("NodeName", quote(vm));
      values.put("Zone", quote(zone));
      values.put("Listen.Front", quote("127.0.0.1:" + front));
      values.put("Listen.Ready", quote("127.0.0.1:" + ready));
      values.put("Listen.Directory", quote("127.0.0.1:" + directory));
      values.put("Ip", "127.0.0.1");
      values.put("InternalPorts.0", Integer.toString(internal0));
      values.put("InternalPorts.1", Integer.toString(internal1));
      values.put("Platform.Address", quote(storeAddress));
      values.put("Cloud.Address", quote(cloudAddress));
      Map<String, String> bounds =
          Map.of(
              "DrainMs", "2000", "RevokeMs", "5000", "GraceS", "8", "LeaseMs", "3000",
              "RetryBudgetRatio", "0.2", "BudgetSlack", "54", "BudgetWindowS", "10",
              "UsageWindowS", "5", "UsageLateS", "10");
      bounds.forEach((name, value) -> values.put("Bounds." + name, value));
      String text = Files.readString(Path.of("deploy/entry.json"));
      text = text.replaceAll("(?s)\\{\\{#Bounds\\.QuotaWindowS}}.*?\\{\\{/Bounds\\.QuotaWindowS}}", "");
      text = text.replaceAll("\\{\\{[#/]Cloud\\.Address}}", "");
      Matcher placeholder = Pattern.compile("\\{\\{([A-Za-z0-9.]+)(\\|json)?}}").matcher(text);
      Files.writeString(
          settings,
          placeholder.replaceAll(found -> Matcher.quoteReplacement(values.get(found.group(1)))));
    }

    private static String quote(String text) {
      return "\"" + text + "\"";
    }

    synchronized void start() throws IOException {
      String run =
          find(Files.readString(Path.of("deploy/system.toml")), "(?m)^run = \"(.*)\"$");
      ProcessBuilder builder = new ProcessBuilder(List.of(run.split(" ")));
      builder.environment().put("SAMPHIREGAUGE_CONFIG", settings.toString());
      builder
          .redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(vm + ".log").toFile()));
      process = builder.start();
    }

    synchronized boolean alive() {
      return process != null && process.isAlive();
    }

    synchronized void kill() {
      if (process != null) {
        process.destroyForcibly();
      }
    }

    synchronized void signal(String name) throws IOException {
      new ProcessBuilder("kill", "-s", name, Long.toString(process.pid())).start();
    }

    /** Waits until the entry is ready. */
    boolean awaitReady(long limitMs) {
      long endMs = nowMs() + limitMs;
      while (nowMs() < endMs) {
        try (Socket socket = new Socket(LOOPBACK, ready)) {
          write(
              socket.getOutputStream(),
              "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
          String line = readLine(socket.getInputStream());
          if (line != null && line.contains(" 200 ")) {
            return true;
          }
        } catch (IOException e) {
          // Not started yet.
        }
        sleep(50);
      }
      return false;
    }

    String logTail() throws IOException {
      return Files.readString(folder.resolve(vm + ".log"));
    }
  }

  /** Returns a route of the operator's configuration. */
  static String route(
      String name, String kind, String service, int maxAttempts, int timeoutMs, String extra) {
    return ("{\"Name\":\"%s\",\"Hostname\":\"%s\",\"PathPrefix\":\"/%s/\",\"Kind\":\"%s\","
            + "\"TimeoutMs\":%d,\"TargetLatencyMs\":600,\"Priority\":0,\"Service\":\"%s\","
            + "\"MaxAttempts\":%d,\"Public\":false%s}")
        .formatted(name, HOST, name, kind, timeoutMs, service, maxAttempts, extra);
  }

  /** The answer that a client got: status 0 if there was none. */
  static final class Answer {
    int status;
    Map<String, String> headers = Map.of();
    final List<String> events = new ArrayList<>();
    byte[] body = new byte[0];
    boolean complete;
    String end = "";
  }

  /** Sends one request on a new connection and reads the answer; each event is an element. */
  static Answer call(
      int port, String method, String path, String attemptId, String extraHeaders, byte[] body,
      int timeoutMs, java.util.function.Consumer<String> onEvent) {
    Answer answer = new Answer();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMs);
      OutputStream out = socket.getOutputStream();
      out.write(
          ("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nAuthorization: Bearer k\r\n%s"
                  + "Connection: close\r\nContent-Length: %d\r\n\r\n")
              .formatted(method, path, HOST, attemptId, extraHeaders, body.length)
              .getBytes(StandardCharsets.UTF_8));
      out.write(body);
      out.flush();
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String line = readLine(in);
      if (line == null) {
        answer.end = "closed without an answer";
        return answer;
      }
      answer.status = Integer.parseInt(line.split(" ")[1]);
      answer.headers = readHeaders(in);
      if (answer.headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
        StringBuilder text = new StringBuilder();
        while (true) {
          String size = readLine(in);
          if (size == null) {
            answer.end = "closed within the body";
            return answer;
          }
          int length = Integer.parseInt(size.trim(), 16);
          byte[] chunk = in.readNBytes(length);
          if (chunk.length < length) {
            answer.end = "closed within a chunk";
            return answer;
          }
          readLine(in);
          if (length == 0) {
            answer.complete = true;
            return answer;
          }
          text.append(new String(chunk, StandardCharsets.UTF_8));
          for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
            String event = text.substring(0, end);
            text.delete(0, end + 2);
            answer.events.add(event);
            onEvent.accept(event);
          }
        }
      }
      int length = Integer.parseInt(answer.headers.getOrDefault("content-length", "0"));
      answer.body = in.readNBytes(length);
      answer.complete = answer.body.length == length;
    } catch (IOException | RuntimeException e) {
      answer.end = e.toString();
    }
    return answer;
  }
}
