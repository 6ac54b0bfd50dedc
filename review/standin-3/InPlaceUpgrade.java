import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers crash one at a time and start again under their ids with the next version of their
 * software, while resumable streams run. ORDER: no stream may hold events of two versions.
 */
final class InPlaceUpgrade {
  private static final int SERVERS = Integer.getInteger("servers", 6);
  private static final int ENTRIES = Integer.getInteger("entries", 7);
  private static final int EVENTS = Integer.getInteger("events", 30);
  private static final int EVENT_GAP_MS = 100;
  private static final int STREAMS_PER_S = Integer.getInteger("rate", 24);
  private static final int DEADLINE_MS = 8_000;
  private static final int RUN_MS = 24_000;
  private static final int FIRST_CRASH_MS = 6_000;
  private static final int DOWN_MS = Integer.getInteger("down", 500);
  private static final int GAP_MS = Integer.getInteger("gap", 800);
  private static final int ROUNDS = Integer.getInteger("rounds", 2);

  private InPlaceUpgrade() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    boolean newIds = "1".equals(System.getenv("NEW_IDS"));
    Path folder = Files.createTempDirectory("review-3-");
    int result;
    List<Standins.Entry> entries = new ArrayList<>();
    try (Standins.Record record = new Standins.Record(Path.of(args[0]))) {
      Runtime.getRuntime().addShutdownHook(new Thread(() -> entries.forEach(Standins.Entry::kill)));
      result = run(record, folder, entries, trouble, newIds);
      record.add("result %d", result);
    } finally {
      entries.forEach(Standins.Entry::kill);
    }
    System.exit(result);
  }

  private static int run(
      Standins.Record record, Path folder, List<Standins.Entry> entries, boolean trouble,
      boolean newIds)
      throws IOException {
    Standins.Store store = new Standins.Store();
    Standins.Cloud cloud = new Standins.Cloud();
    store.put(
        "keyed.op",
        "config",
        ("{\"Version\":1,\"Routes\":[%s],\"Services\":[{\"Name\":\"llm\",\"Engine\":{\"Slots\":64,"
                + "\"KvTokens\":504494,\"TokenKvBytes\":18432,\"LinkMbps\":370000}}],"
                + "\"Tenants\":[{\"Name\":\"team-1\",\"ApiKeys\":[\"k\"]}]}")
            .formatted(
                Standins.route(
                    "ask", "streaming", "llm", 2, DEADLINE_MS,
                    ",\"AllowResume\":true,\"TargetGapMs\":200")));
    List<Standins.Server> servers = new ArrayList<>();
    for (int i = 1; i <= SERVERS; i++) {
      Standins.Server server = new Standins.Server(store, "s-" + i, "llm", "v1", "a", 64, null);
      server.handler = (request, socket, out) -> stream(record, server, request, out);
      server.extra = ",\"Stage\":\"decode\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}]";
      servers.add(server);
      server.start();
    }
    for (int i = 1; i <= ENTRIES; i++) {
      Standins.Entry entry = new Standins.Entry("vm-" + i, "a", store, cloud, folder);
      entries.add(entry);
      entry.start();
    }
    for (Standins.Entry entry : entries) {
      if (!entry.awaitReady(30_000)) {
        record.add("%s is not ready: %s", entry.vm, entry.logTail());
        return 2;
      }
    }
    Standins.sleep(2_000);
    long startMs = Standins.nowMs();
    if (trouble) {
      Standins.daemon(() -> upgrade(record, servers, newIds));
    }
    Set<String> mixed = ConcurrentHashMap.newKeySet();
    AtomicInteger complete = new AtomicInteger();
    AtomicInteger all = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    Random random = new Random(1);
    for (int i = 0; Standins.nowMs() - startMs < RUN_MS; i++) {
      int number = i;
      int first = random.nextInt(ENTRIES);
      clients.add(
          Standins.daemon(() -> client(record, entries, number, first, mixed, complete, all)));
      Standins.sleep(startMs + (i + 1) * 1_000L / STREAMS_PER_S - Standins.nowMs());
    }
    for (Thread client : clients) {
      try {
        client.join(2 * DEADLINE_MS);
      } catch (InterruptedException e) {
        return 2;
      }
    }
    record.add(
        "streams %d, complete %d, with events of two versions %d: %s",
        all.get(), complete.get(), mixed.size(), new TreeSet<>(mixed));
    if (complete.get() < all.get() / 2) {
      return 2;
    }
    // "More than two streams hold events from servers of two software versions".
    return mixed.size() > 2 ? 1 : 0;
  }

  private static void upgrade(
      Standins.Record record, List<Standins.Server> servers, boolean newIds) {
    Standins.sleep(FIRST_CRASH_MS);
    for (int round = 2; round < 2 + ROUNDS; round++) {

      for (Standins.Server server : servers) {
        record.add("crash of %s %s", server.id, server.version);
        server.kill();
        Standins.sleep(DOWN_MS);
        server.version = "v" + round;
        if (newIds) {
          server.id = server.id.replaceAll("#.*", "") + "#" + round;
        }
        server.start();
        record.add("start of %s %s", server.id, server.version);
        Standins.sleep(GAP_MS - DOWN_MS);
      }
    }
  }

  /** Sends the events that the caller doesn't have yet; each names its server and version. */
  private static boolean stream(
      Standins.Record record, Standins.Server server, Standins.Request request, OutputStream out)
      throws IOException {
    String version = server.version;
    String attempt = request.header("X-Attempt-Id");
    if (!request.header("X-Expect-Instance").equals(server.id)) {
      Standins.write(
          out,
          "HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
              .formatted(attempt));
      return true;
    }
    String last = request.header("Last-Event-Id");
    int after = last.isEmpty() ? 0 : Integer.parseInt(last);
    record.add("%s %s runs %s after event %d", server.id, version, attempt, after);
    Standins.write(
        out,
        ("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n"
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .formatted(attempt));
    for (int id = after + 1; id <= EVENTS; id++) {
      Standins.sleep(EVENT_GAP_MS);
      String event = "id: %d\ndata: %s %s\n\n".formatted(id, server.service, version);
      Standins.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    Standins.write(out, "0\r\n\r\n");
    return true;
  }

  /** Asks for a stream, and takes it up again if it breaks off, three times at most. */
  private static void client(
      Standins.Record record, List<Standins.Entry> entries, int number, int first,
      Set<String> mixed, AtomicInteger complete, AtomicInteger all) {
    all.incrementAndGet();
    long endMs = Standins.nowMs() + DEADLINE_MS;
    List<String> events = Collections.synchronizedList(new ArrayList<>());
    String begunBy = "";
    Set<String> versions = new TreeSet<>();
    int lastId = 0;
    for (int tries = 0; tries < 4; tries++) {
      long leftMs = endMs - Standins.nowMs();
      if (leftMs < 200) {
        break;
      }
      String attempt = "a%d-%d".formatted(number, tries);
      String headers =
          "X-Deadline-Ms: %d\r\nX-Model: m\r\nX-Token-Count: 383,%d\r\nX-Prompt-Prefix: aa:92,%x:291\r\n"
              .formatted(leftMs, EVENTS, 4096 + number);
      if (lastId > 0) {
        headers += "Last-Event-Id: %d\r\nResumes: %s\r\n".formatted(lastId, begunBy);
      }
      Standins.Answer answer =
          Standins.call(
              entries.get((first + tries) % entries.size()).front, "POST", "/ask/" + number,
              attempt, headers, new byte[0], (int) leftMs + 1_000, event -> {});
      for (String event : answer.events) {
        String id = Standins.find(event, "id: (\\d+)");
        if (id.isEmpty()) {
          continue;
        }
        lastId = Integer.parseInt(id);
        if (begunBy.isEmpty()) {
          begunBy = attempt;
        }
        versions.add(Standins.find(event, "data: (.*)"));
        events.add(attempt + "/" + id + "/" + Standins.find(event, "data: \\S+ (.*)"));
      }
      if (answer.complete && answer.status == 200) {
        complete.incrementAndGet();
        break;
      }
      record.add("client %s got %d %s after event %d", attempt, answer.status, answer.end, lastId);
      String wait = answer.headers.getOrDefault("retry-after", "");
      Standins.sleep(wait.isEmpty() ? 50 : (long) (Double.parseDouble(wait) * 1_000));
    }
    if (versions.size() > 1) {
      mixed.add("a" + number);
      record.add("client a%d has events of two versions: %s", number, events);
    }
  }
}
