import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two software versions serve side by side. The store comes back from a copy some seconds old; an
 * entry is killed once the store is stable again, and its callers take their streams up at the other
 * entries. LOST: of 12 or more such streams, the share that goes on is at least half of the share of
 * new streams that begin.
 */
final class RestoredStore {
  private static final int SERVERS_PER_VERSION = 3;
  private static final int ENTRIES = 7;
  private static final int EVENTS = 78;
  private static final int EVENT_GAP_MS = 100;
  private static final int STREAMS_PER_S = Integer.getInteger("rate", 21);
  private static final int DEADLINE_MS = 8_000;
  private static final int RESTORE_AT_MS = 12_000;
  private static final int COPY_AGE_MS = 5_000;
  private static final int AWAY_MS = 200;

  /** StableMs, after which entries are in touch again, and a little more. */
  private static final int STABLE_MS = 3_050;

  private static final int RUN_MS = 20_000;

  private final Standins.Record record;
  private final List<Standins.Entry> entries;
  private volatile long killedAtMs = Long.MAX_VALUE;
  private final AtomicInteger newStreams = new AtomicInteger();
  private final AtomicInteger begun = new AtomicInteger();
  private final AtomicInteger takenUp = new AtomicInteger();
  private final AtomicInteger goneOn = new AtomicInteger();
  private final AtomicInteger mixed = new AtomicInteger();

  private RestoredStore(Standins.Record record, List<Standins.Entry> entries) {
    this.record = record;
    this.entries = entries;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("review-3-");
    List<Standins.Entry> entries = new ArrayList<>();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> entries.forEach(Standins.Entry::kill)));
    int result;
    try (Standins.Record record = new Standins.Record(Path.of(args[0]))) {
      result = new RestoredStore(record, entries).run(folder, trouble);
      record.add("result %d", result);
    }
    System.exit(result);
  }

  private int run(Path folder, boolean trouble) throws Exception {
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
    for (int i = 0; i < 2 * SERVERS_PER_VERSION; i++) {
      Standins.Server server =
          new Standins.Server(store, "s-" + i, "llm", "v" + (1 + i % 2), "a", 64, null);
      server.extra =
          ",\"Stage\":\"decode\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}]";
      server.handler = (request, socket, out) -> stream(server, request, out);
      server.start();
    }
    for (int i = 0; i < ENTRIES; i++) {
      // One entry in the zone of the servers and one in another zone, in turn.
      Standins.Entry entry =
          new Standins.Entry("vm-" + i, List.of("a", "b", "c").get(i % 3), store, cloud, folder);
      entries.add(entry);
      entry.start();
    }
    for (Standins.Entry entry : entries) {
      if (!entry.awaitReady(30_000)) {
        record.add("%s is not ready: %s", entry.vm, entry.logTail());
        return 2;
      }
    }
    Standins.sleep(3_000);
    long startMs = Standins.nowMs();
    Standins.daemon(
        () -> {
          Standins.sleep(RESTORE_AT_MS - COPY_AGE_MS);
          var copy = store.copy();
          Standins.sleep(COPY_AGE_MS);
          if (trouble) {
            record.add("the store is away");
            store.fault = (request, socket, out) -> true;
            Standins.sleep(AWAY_MS);
            store.restore(copy);
            store.fault = (request, socket, out) -> false;
            record.add("the store is back from a copy that was %d ms old", COPY_AGE_MS);
          }
          Standins.sleep(STABLE_MS);
          record.add("vm-0 is killed");
          killedAtMs = Standins.nowMs();
          entries.get(0).kill();
        });
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; Standins.nowMs() - startMs < RUN_MS; i++) {
      int number = i;
      clients.add(Standins.daemon(() -> client(number)));
      Standins.sleep(startMs + (i + 1) * 1_000L / STREAMS_PER_S - Standins.nowMs());
    }
    for (Thread client : clients) {
      client.join(2 * DEADLINE_MS);
    }
    record.add(
        "after the kill: taken up %d, gone on %d; new streams at the other entries %d, begun %d;"
            + " with events of two versions %d",
        takenUp.get(), goneOn.get(), newStreams.get(), begun.get(), mixed.get());
    if (takenUp.get() < 12 || begun.get() < newStreams.get() / 2) {
      return 2;
    }
    double shareOfTakenUp = goneOn.get() / (double) takenUp.get();
    double shareOfNew = begun.get() / (double) newStreams.get();
    record.add("share gone on %.2f, share begun %.2f", shareOfTakenUp, shareOfNew);
    return shareOfTakenUp < shareOfNew / 2 ? 1 : 0;
  }

  private static boolean stream(
      Standins.Server server, Standins.Request request, OutputStream out) throws IOException {
    String attempt = request.header("X-Attempt-Id");
    if (!request.header("X-Expect-Instance").equals(server.id)) {
      Standins.write(
          out,
          "HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
              .formatted(attempt));
      return true;
    }
    String last = request.header("Last-Event-Id");
    Standins.write(
        out,
        ("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n"
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .formatted(attempt));
    for (int id = 1 + (last.isEmpty() ? 0 : Integer.parseInt(last)); id <= EVENTS; id++) {
      Standins.sleep(EVENT_GAP_MS);
      String event = "id: %d\ndata: %s\n\n".formatted(id, server.version);
      Standins.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    Standins.write(out, "0\r\n\r\n");
    return true;
  }

  /** Asks for a stream, and takes it up at another entry if its entry is killed. */
  private void client(int number) {
    long endMs = Standins.nowMs() + DEADLINE_MS;
    boolean late = Standins.nowMs() > killedAtMs;
    int entry = late ? 1 + number % (ENTRIES - 1) : number % ENTRIES;
    String attempt = "a%d-0".formatted(number);
    Standins.Answer first = call(entry, number, attempt, "", endMs);
    if (late) {
      newStreams.incrementAndGet();
      begun.addAndGet(first.events.isEmpty() ? 0 : 1);
    }
    if (first.complete || first.events.isEmpty() || entry != 0) {
      if (!first.complete) {
        record.add("client %s at vm-%d got %d %s", attempt, entry, first.status, first.end);
      }
      return;
    }
    String begunBy = attempt;
    String lastId = lastId(first);
    for (int tries = 1; endMs - Standins.nowMs() > 200; tries++) {
      attempt = "a%d-%d".formatted(number, tries);
      takenUp.addAndGet(tries == 1 ? 1 : 0);
      int next = 1 + (number + tries) % (ENTRIES - 1);
      Standins.Answer answer =
          call(
              next, number, attempt,
              "Last-Event-Id: %s\r\nResumes: %s\r\n".formatted(lastId, begunBy), endMs);
      record.add(
          "client %s takes up %s after event %s at vm-%d: %d, %d events, %s %s",
          attempt, begunBy, lastId, next, answer.status, answer.events.size(),
          answer.complete ? "complete" : answer.end,
          answer.status == 200 ? "" : new String(answer.body));
      if (!answer.events.isEmpty()) {
        goneOn.incrementAndGet();
        String version = Standins.find(first.events.get(0), "data: (.*)");
        mixed.addAndGet(
            answer.events.stream().allMatch(event -> event.contains(version)) ? 0 : 1);
        return;
      }
      String wait = answer.headers.getOrDefault("retry-after", "");
      Standins.sleep(wait.isEmpty() ? 100 : (long) (Double.parseDouble(wait) * 1_000));
    }
  }

  private static String lastId(Standins.Answer answer) {
    return Standins.find(answer.events.get(answer.events.size() - 1), "id: (\\d+)");
  }

  private Standins.Answer call(int entry, int number, String attempt, String headers, long endMs) {
    long leftMs = endMs - Standins.nowMs();
    return Standins.call(
        entries.get(entry).front,
        "POST",
        "/ask/" + number,
        attempt,
        headers
            + "X-Deadline-Ms: %d\r\nX-Model: m\r\nX-Token-Count: 383,%d\r\nX-Prompt-Prefix: aa:92,%x:291\r\n"
                .formatted(leftMs, EVENTS, 4096 + number),
        new byte[0],
        (int) leftMs + 1_000,
        event -> {});
  }
}
