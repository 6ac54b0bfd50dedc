import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients each keep a connection on which they sent one request with a large head. */
final class LargeHeads {
  /** Open connections at most; a VM has 4,100 descriptors. */
  private static final int CONNECTIONS = 2_000;

  private static final int HEAD_BYTES = 15_000;
  private static final int SMALL_HEAD_BYTES = 500;

  /** Four fifths of IdleTimeoutMs, after which a client closes an idle connection. */
  private static final int IDLE_MS = 12_000;

  private static final int OPEN_GAP_MS = IDLE_MS / CONNECTIONS;
  private static final int LOOK_UP_TIMEOUT_MS = 1_000;
  private static final int LENGTH_MS = 40_000;
  private static final int THREAD_STACK_BYTES = 64 * 1024;

  private static final int BOOKERS = 4;
  private static final int BOOKING_TIMEOUT_MS = 1_000;
  private static final int BOOKING_GAP_MS = 100;
  /** Time after its route's timeout in which a request still counts as answered. */
  private static final int ANSWER_MARGIN_MS = 500;

  private final Site site;
  private final boolean trouble;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicInteger numbers = new AtomicInteger();
  private final AtomicInteger lookUpsAnswered = new AtomicInteger();
  private final AtomicInteger lookUpsUnanswered = new AtomicInteger();
  private final AtomicInteger runs = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private final AtomicInteger unansweredAfterMargin = new AtomicInteger();

  private LargeHeads(Site site, boolean trouble) {
    this.site = site;
    this.trouble = trouble;
  }

  public static void main(String[] args) throws Exception {
    int code = 2;
    try (Site site = new Site(Path.of(args[0]))) {
      code = new LargeHeads(site, !"0".equals(System.getenv("TROUBLE"))).run();
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
              if (request.startLine().contains("/book/")) {
                Thread.sleep(20);
                runs.incrementAndGet();
                site.note("server: ran %s", request.header("x-attempt-id").orElse(""));
              }
              Backend.write(out, Backend.sealedHead(request, 200, 800));
              out.write(new byte[800]);
              out.flush();
              return true;
            });
    site.configure(
        1,
        "{\"Name\":\"desk\"}",
        Site.route("book", "non_idempotent", BOOKING_TIMEOUT_MS, 200, 1, "desk"),
        Site.route("look", "idempotent", LOOK_UP_TIMEOUT_MS, 200, 1, "desk"));
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
    long noteAtMs = 0;
    while (site.nowMs() < LENGTH_MS) {
      if (open.get() < CONNECTIONS) {
        startLookUp(entry);
      }
      if (site.nowMs() >= noteAtMs) {
        noteAtMs = site.nowMs() + 1_000;
        site.note(
            "%d connections open; look-ups: %d answered, %d not; bookings: %d run, %d answered 200,"
                + " %d refused, %d unanswered at the timeout, %d of them %d ms later",
            open.get(), lookUpsAnswered.get(), lookUpsUnanswered.get(), runs.get(), answered.get(),
            refused.get(), unansweredAtTimeout.get(), unansweredAfterMargin.get(),
            ANSWER_MARGIN_MS);
      }
      Thread.sleep(OPEN_GAP_MS);
    }
    ended.set(true);
    for (Thread booker : bookers) {
      booker.join();
    }
    site.note(
        "in all: bookings: %d run, %d answered 200, %d refused, %d unanswered at the timeout, %d of"
            + " them %d ms later; look-ups: %d answered, %d not; the entry runs: %s",
        runs.get(), answered.get(), refused.get(), unansweredAtTimeout.get(),
        unansweredAfterMargin.get(), ANSWER_MARGIN_MS, lookUpsAnswered.get(),
        lookUpsUnanswered.get(), entry.isAlive());
    if (!entry.isAlive()) {
      return 1;
    }
    int late = unansweredAtTimeout.get();
    return late >= 8 && 2 * unansweredAfterMargin.get() > late ? 1 : 0;
  }

  private void startLookUp(Entry entry) {
    String id = "look-" + numbers.incrementAndGet();
    open.incrementAndGet();
    Thread thread = new Thread(null, () -> lookUp(entry, id), id, THREAD_STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  /** Sends one request on a connection of its own, and leaves the connection open for a while. */
  private void lookUp(Entry entry, String id) {
    String note = "X-Note: " + "n".repeat(trouble ? HEAD_BYTES : SMALL_HEAD_BYTES) + "\r\n";
    try (Client client = new Client(entry.port())) {
      client.setTimeoutMs(LOOK_UP_TIMEOUT_MS + ANSWER_MARGIN_MS);
      Client.Answer answer =
          client
              .send(
                  "GET",
                  "/look/x",
                  id,
                  Site.KEY + "X-Deadline-Ms: " + LOOK_UP_TIMEOUT_MS + "\r\n" + note,
                  new byte[0])
              .readAll();
      if (answer.complete()) {
        lookUpsAnswered.incrementAndGet();
        Thread.sleep(IDLE_MS);
      } else {
        lookUpsUnanswered.incrementAndGet();
      }
    } catch (Exception e) {
      lookUpsUnanswered.incrementAndGet();
    } finally {
      open.decrementAndGet();
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
        record(id, answer, site.nowMs() - sentMs);
        if (!answer.complete()) {
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

  private void record(String id, Client.Answer answer, long tookMs) {
    if (tookMs > BOOKING_TIMEOUT_MS) {
      unansweredAtTimeout.incrementAndGet();
    }
    if (answer.complete()) {
      (answer.status() == 200 ? answered : refused).incrementAndGet();
      site.note("client: %s got status %d after %d ms", id, answer.status(), tookMs);
      return;
    }
    if (tookMs >= BOOKING_TIMEOUT_MS + ANSWER_MARGIN_MS) {
      unansweredAfterMargin.incrementAndGet();
    }
    site.note("client: %s has no answer after %d ms: %s", id, tookMs, answer.end());
  }
}
