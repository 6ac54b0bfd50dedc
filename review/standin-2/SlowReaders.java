import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients read large answers slowly while others send bookings. */
final class SlowReaders {
  private static final int READERS = 200;
  private static final int ANSWER_BYTES = 4_000_000;
  private static final int READ_DEADLINE_MS = 8_000;
  private static final int SLOW_BYTES_PER_S = 20_000;
  private static final int SLOW_MS = 6_000;
  private static final int READER_GAP_MS = 100;

  private static final int BOOKERS = 4;
  private static final int BOOKING_TIMEOUT_MS = 1_000;
  private static final int BOOKING_GAP_MS = 100;
  /** Time after its route's timeout in which a request still counts as answered. */
  private static final int ANSWER_MARGIN_MS = 500;

  private static final int LENGTH_MS = 45_000;

  private final Site site;
  private final boolean trouble;
  private final AtomicInteger runs = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private final AtomicInteger unansweredAfterMargin = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();
  private final AtomicBoolean ended = new AtomicBoolean();
  private long lastAnswerMs;
  private long longestSilenceMs;

  private SlowReaders(Site site, boolean trouble) {
    this.site = site;
    this.trouble = trouble;
  }

  public static void main(String[] args) throws Exception {
    int code = 2;
    try (Site site = new Site(Path.of(args[0]))) {
      code = new SlowReaders(site, !"0".equals(System.getenv("TROUBLE"))).run();
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private int run() throws Exception {
    Backend desk =
        new Backend(
            "i-desk",
            (request, body, out, socket) -> {
              boolean booking = request.startLine().contains("/book/");
              if (booking) {
                Thread.sleep(20);
                runs.incrementAndGet();
              }
              site.note("server: ran %s", request.header("x-attempt-id").orElse(""));
              byte[] answer = new byte[booking ? 800 : ANSWER_BYTES];
              Backend.write(out, Backend.sealedHead(request, 200, answer.length));
              out.write(answer);
              out.flush();
              return true;
            });
    site.configure(
        1,
        "{\"Name\":\"desk\"}",
        Site.route("book", "non_idempotent", BOOKING_TIMEOUT_MS, 200, 1, "desk"),
        Site.route("read", "idempotent", READ_DEADLINE_MS, 600, 1, "desk"));
    site.announce(desk, "desk", 6);
    Entry entry = site.start("edge-a-1");
    entry.awaitReady();
    Thread.sleep(1_000);
    List<Thread> bookers = new ArrayList<>();
    for (int i = 0; i < BOOKERS; i++) {
      String name = "book-" + i;
      Thread booker = new Thread(() -> book(entry, name));
      booker.start();
      bookers.add(booker);
    }
    Thread.sleep(3_000);
    for (int i = 0; i < READERS; i++) {
      String id = "read-" + i;
      Backend.start(id, () -> read(entry, id));
      Thread.sleep(READER_GAP_MS);
    }
    while (site.nowMs() < LENGTH_MS) {
      Thread.sleep(1_000);
      site.note(
          "bookings so far: %d run, %d answered 200, %d refused, %d unanswered at the timeout, %d of"
              + " them %d ms later, %d closed; ready %s",
          runs.get(), answered.get(), refused.get(), unansweredAtTimeout.get(),
          unansweredAfterMargin.get(), ANSWER_MARGIN_MS, closed.get(), entry.isReady());
    }
    ended.set(true);
    for (Thread booker : bookers) {
      booker.join();
    }
    site.note(
        "in all: %d bookings run, %d answered 200, %d refused, %d unanswered at the timeout, %d of"
            + " them %d ms later; longest time without an answer to any booking: %d ms",
        runs.get(), answered.get(), refused.get(), unansweredAtTimeout.get(),
        unansweredAfterMargin.get(), ANSWER_MARGIN_MS, longestSilenceMs);
    if (!entry.isAlive()) {
      site.note("the entry has ended");
      return 1;
    }
    int late = unansweredAtTimeout.get();
    return late >= 8 && 2 * unansweredAfterMargin.get() > late ? 1 : 0;
  }

  private void read(Entry entry, String id) {
    try (Client client = new Client(entry.port(), 16 * 1024)) {
      client.setTimeoutMs(READ_DEADLINE_MS);
      site.note("client: sent %s", id);
      client.send(
          "GET",
          "/read/x",
          id,
          Site.KEY + "X-Deadline-Ms: " + READ_DEADLINE_MS + "\r\n",
          new byte[0]);
      Client.Answer answer = client.readSlowly(SLOW_BYTES_PER_S, trouble ? SLOW_MS : 0);
      site.note(
          "client: %s got status %d and %d bytes: %s",
          id, answer.status(), answer.body().length, answer.end());
    } catch (Exception e) {
      site.note("client: %s: %s", id, e);
    }
  }

  /** Sends bookings one after the other; each waits until the margin after its timeout. */
  private void book(Entry entry, String name) {
    Client client = null;
    for (int number = 0; !ended.get(); number++) {
      long sentMs = site.nowMs();
      String id = name + "-" + number;
      try {
        if (client == null) {
          client = new Client(entry.port());
        }
        client.setTimeoutMs(BOOKING_TIMEOUT_MS + ANSWER_MARGIN_MS);
        site.note("client: sent %s", id);
        client.send(
            "POST",
            "/book/x",
            id,
            Site.KEY + "X-Deadline-Ms: " + BOOKING_TIMEOUT_MS + "\r\n",
            new byte[600]);
        Client.Answer answer = client.readAll();
        boolean kept = record(id, answer, site.nowMs() - sentMs);
        if (!kept) {
          client.close();
          client = null;
        }
        Thread.sleep(BOOKING_GAP_MS);
      } catch (Exception e) {
        site.note("client: %s: %s", id, e);
        client = null;
      }
    }
  }

  private synchronized void noteSign() {
    long nowMs = site.nowMs();
    longestSilenceMs = Math.max(longestSilenceMs, lastAnswerMs == 0 ? 0 : nowMs - lastAnswerMs);
    lastAnswerMs = nowMs;
  }

  private boolean record(String id, Client.Answer answer, long tookMs) {
    if (tookMs > BOOKING_TIMEOUT_MS) {
      unansweredAtTimeout.incrementAndGet();
    }
    if (answer.complete()) {
      noteSign();
      (answer.status() == 200 ? answered : refused).incrementAndGet();
      site.note("client: %s got status %d after %d ms", id, answer.status(), tookMs);
      return true;
    }
    if (tookMs >= BOOKING_TIMEOUT_MS + ANSWER_MARGIN_MS) {
      unansweredAfterMargin.incrementAndGet();
    } else {
      closed.incrementAndGet();
    }
    site.note("client: %s has no answer after %d ms: %s", id, tookMs, answer.end());
    return false;
  }
}
