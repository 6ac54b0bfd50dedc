import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some callers read large answers slowly, while others book with small requests on kept
 * connections. CONFIG: bookings that are unanswered at the timeout of their route get an answer
 * half a second later.
 */
final class SlowReaders {
  private static final int SLOW_CALLERS = Integer.getInteger("slow", 100);
  private static final int SLOW_CALLERS_PER_S = 25;
  private static final int LIST_BYTES = Integer.getInteger("bytes", 4_000_000);
  private static final int LIST_DEADLINE_MS = 8_000;
  private static final int SLOW_BYTES_PER_S = 40_000;
  private static final int BOOKERS = 20;
  private static final int BOOK_TIMEOUT_MS = 4_000;
  private static final int BOOK_PATIENCE_MS = 6_000;
  private static final int SLACK_MS = 500;
  private static final int QUIET_MS = 4_000;
  private static final int RUN_MS = 30_000;

  private final Standins.Record record;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private final AtomicInteger unansweredLater = new AtomicInteger();
  private final AtomicInteger lists = new AtomicInteger();

  private SlowReaders(Standins.Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("review-3-");
    List<Standins.Entry> entries = new ArrayList<>();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> entries.forEach(Standins.Entry::kill)));
    int result;
    try (Standins.Record record = new Standins.Record(Path.of(args[0]))) {
      result = new SlowReaders(record).run(folder, entries, trouble);
      if (!entries.isEmpty()) {
        entries.get(0).logTail().lines()
            .filter(line -> line.contains("OutOfMemory") || line.contains("store_lost"))
            .limit(10)
            .forEach(line -> record.add("log of the entry: %s", line));
      }
      record.add("result %d", result);
    }
    System.exit(result);
  }

  private int run(Path folder, List<Standins.Entry> entries, boolean trouble) throws Exception {
    Standins.Store store = new Standins.Store();
    Standins.Cloud cloud = new Standins.Cloud();
    store.put(
        "keyed.op",
        "config",
        ("{\"Version\":1,\"Routes\":[%s,%s],\"Services\":[{\"Name\":\"desk\"},{\"Name\":\"stock\"}],"
                + "\"Tenants\":[{\"Name\":\"team-1\",\"ApiKeys\":[\"k\"]}]}")
            .formatted(
                Standins.route("book", "non_idempotent", "desk", 1, BOOK_TIMEOUT_MS, ""),
                Standins.route("list", "idempotent", "stock", 2, LIST_DEADLINE_MS, "")));
    byte[] list = new byte[LIST_BYTES];
    for (int i = 1; i <= 4; i++) {
      Standins.Server desk = new Standins.Server(store, "d-" + i, "desk", "v1", "a", 6, null);
      desk.handler = (request, socket, out) -> answer(desk, request, out, new byte[800]);
      desk.start();
      Standins.Server stock = new Standins.Server(store, "k-" + i, "stock", "v1", "a", 64, null);
      stock.handler = (request, socket, out) -> answer(stock, request, out, list);
      stock.start();
    }
    Standins.Entry entry = new Standins.Entry("vm-1", "a", store, cloud, folder);
    entries.add(entry);
    entry.start();
    if (!entry.awaitReady(30_000)) {
      return 2;
    }
    Standins.sleep(1_000);
    long endMs = Standins.nowMs() + RUN_MS;
    List<Thread> bookers = new ArrayList<>();
    for (int i = 0; i < BOOKERS; i++) {
      int number = i;
      bookers.add(Standins.daemon(() -> book(entry.front, number, endMs)));
    }
    Standins.sleep(QUIET_MS);
    for (int i = 0; i < SLOW_CALLERS; i++) {
      int number = i;
      Standins.daemon(() -> list(entry.front, number, trouble));
      Standins.sleep(1_000 / SLOW_CALLERS_PER_S);
    }
    for (Thread booker : bookers) {
      booker.join(RUN_MS + 2 * BOOK_PATIENCE_MS);
    }
    record.add(
        "bookings answered %d, unanswered after %d ms: %d, after %d ms more: %d; lists read to the"
            + " end: %d of %d; entry alive: %s",
        answered.get(), BOOK_TIMEOUT_MS, unansweredAtTimeout.get(), SLACK_MS, unansweredLater.get(),
        lists.get(), SLOW_CALLERS, entry.alive());
    if (answered.get() < BOOKERS) {
      return 2;
    }
    // "Eight or more of them, and over a quarter, have no final answer 0.5 s after it"; "more than
    // half have no answer half a second later".
    boolean broken =
        unansweredLater.get() >= 8 && 2 * unansweredLater.get() > unansweredAtTimeout.get();
    return broken || !entry.alive() ? 1 : 0;
  }

  private static boolean answer(
      Standins.Server server, Standins.Request request, OutputStream out, byte[] body)
      throws IOException {
    if (!request.header("X-Expect-Instance").equals(server.id)) {
      Standins.write(out, "HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    Standins.sleep(20);
    out.write(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nContent-Length: %d\r\n\r\n"
            .formatted(request.header("X-Attempt-Id"), body.length)
            .getBytes(StandardCharsets.UTF_8));
    out.write(body);
    out.flush();
    return true;
  }

  /** Reads a large answer, slowly or at once, and leaves at its deadline. */
  private void list(int port, int number, boolean slow) {
    long startMs = Standins.nowMs();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(Standins.LOOPBACK, port), 1_000);
      socket.setSoTimeout(LIST_DEADLINE_MS);
      Standins.write(
          socket.getOutputStream(),
          ("GET /list/%d HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: l%d\r\nAuthorization: Bearer k\r\n"
                  + "X-Deadline-Ms: %d\r\n\r\n")
              .formatted(number, Standins.HOST, number, LIST_DEADLINE_MS));
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[slow ? SLOW_BYTES_PER_S / 10 : 64 * 1024];
      long bytes = 0;
      while (bytes < LIST_BYTES && Standins.nowMs() - startMs < LIST_DEADLINE_MS) {
        int count = in.read(buffer);
        if (count < 0) {
          break;
        }
        bytes += count;
        if (slow) {
          Standins.sleep(100);
        }
      }
      if (bytes >= LIST_BYTES) {
        lists.incrementAndGet();
      }
      record.add("list l%d: %d bytes in %d ms", number, bytes, Standins.nowMs() - startMs);
    } catch (IOException e) {
      record.add("list l%d: %s after %d ms", number, e, Standins.nowMs() - startMs);
    }
  }

  /** Sends bookings one after another on a kept connection. */
  private void book(int port, int number, long endMs) {
    int sent = 0;
    while (Standins.nowMs() < endMs) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(Standins.LOOPBACK, port), 1_000);
        socket.setSoTimeout(BOOK_PATIENCE_MS);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (Standins.nowMs() < endMs) {
          String id = "b%d-%d".formatted(number, ++sent);
          long sentMs = Standins.nowMs();
          String end;
          try {
            Standins.write(
                socket.getOutputStream(),
                ("POST /book/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nAuthorization: Bearer"
                        + " k\r\nX-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}")
                    .formatted(Standins.HOST, id, BOOK_PATIENCE_MS));
            String line = Standins.readLine(in);
            if (line == null) {
              end = "closed";
            } else {
              Map<String, String> headers = Standins.readHeaders(in);
              in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
              end = line.split(" ")[1];
            }
          } catch (IOException e) {
            end = "no answer: " + e.getMessage();
          }
          long tookMs = Standins.nowMs() - sentMs;
          boolean hasAnswer = end.length() == 3;
          if (hasAnswer) {
            answered.incrementAndGet();
          }
          if (tookMs > BOOK_TIMEOUT_MS) {
            unansweredAtTimeout.incrementAndGet();
            unansweredLater.addAndGet(hasAnswer && tookMs <= BOOK_TIMEOUT_MS + SLACK_MS ? 0 : 1);
          }
          if (!end.equals("200") || tookMs > 500) {
            record.add("booking %s: %s after %d ms", id, end, tookMs);
          }
          if (!hasAnswer) {
            break;
          }
          Standins.sleep(100);
        }
      } catch (IOException e) {
        record.add("booker %d: %s", number, e);
        Standins.sleep(200);
      }
    }
  }
}
