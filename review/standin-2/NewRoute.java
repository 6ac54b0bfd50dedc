import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A configuration adds a route of short requests to a service that also has long ones. */
final class NewRoute {
  private static final int REPORT_TIMEOUT_MS = 8_000;
  private static final int REPORT_WORK_MS = 1_900;
  private static final int BOOKING_TIMEOUT_MS = 1_000;
  private static final int BOOKING_WORK_MS = 30;

  private static final int REPORTERS = 2;
  private static final int CHANGE_AT_MS = 10_000;
  /** ConfigApplyMs of the small deployments, and as much again. */
  private static final int SETTLE_MS = 4_000;

  private static final int LENGTH_MS = 45_000;
  private static final int GAP_MS = 400;

  private final Site site;
  private final boolean trouble;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final Tally first = new Tally();
  private final Tally later = new Tally();

  private static final class Tally {
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();

    double share() {
      return sent.get() == 0 ? 1 : (double) served.get() / sent.get();
    }
  }

  private NewRoute(Site site, boolean trouble) {
    this.site = site;
    this.trouble = trouble;
  }

  public static void main(String[] args) throws Exception {
    int code = 2;
    try (Site site = new Site(Path.of(args[0]))) {
      code = new NewRoute(site, !"0".equals(System.getenv("TROUBLE"))).run();
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
              Thread.sleep(booking ? BOOKING_WORK_MS : REPORT_WORK_MS);
              site.note("server: ran %s", request.header("x-attempt-id").orElse(""));
              Backend.write(out, Backend.sealedHead(request, 200, 800));
              out.write(new byte[800]);
              out.flush();
              return true;
            });
    String report =
        Site.route("report", "idempotent", REPORT_TIMEOUT_MS, 2_500, 1, "desk");
    String book = Site.route("book", "non_idempotent", BOOKING_TIMEOUT_MS, 200, 1, "desk");
    site.configure(1, "{\"Name\":\"desk\"}", report);
    site.announce(desk, "desk", 6);
    Entry entry = site.start("edge-a-1");
    entry.awaitReady();
    Thread.sleep(1_000);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < REPORTERS; i++) {
      clients.add(startClient(entry, "report", "report-" + i, REPORT_TIMEOUT_MS, first));
    }
    while (site.nowMs() < CHANGE_AT_MS) {
      Thread.sleep(100);
    }
    if (trouble) {
      site.configure(2, "{\"Name\":\"desk\"}", report, book);
      site.note("operator: version 2 adds the route book");
      Thread.sleep(SETTLE_MS);
      clients.add(startClient(entry, "book", "book", BOOKING_TIMEOUT_MS, later));
    }
    while (site.nowMs() < LENGTH_MS) {
      Thread.sleep(100);
    }
    ended.set(true);
    for (Thread client : clients) {
      client.join();
    }
    site.note(
        "first route: %d sent, %d served; later route: %d sent, %d served",
        first.sent.get(), first.served.get(), later.sent.get(), later.served.get());
    if (later.sent.get() >= 20 && later.share() < first.share() / 4) {
      return 1;
    }
    return first.served.get() > 10 ? 0 : 2;
  }

  private Thread startClient(Entry entry, String route, String name, int timeoutMs, Tally tally) {
    Thread thread = new Thread(() -> send(entry, route, name, timeoutMs, tally), name);
    thread.start();
    return thread;
  }

  private void send(Entry entry, String route, String name, int timeoutMs, Tally tally) {
    for (int number = 0; !ended.get(); number++) {
      String id = name + "-" + number;
      try (Client client = new Client(entry.port())) {
        client.setTimeoutMs(timeoutMs + 500);
        tally.sent.incrementAndGet();
        site.note("client: sent %s", id);
        Client.Answer answer =
            client
                .send(
                    "POST",
                    "/" + route + "/x",
                    id,
                    Site.KEY + "X-Deadline-Ms: " + timeoutMs + "\r\n",
                    new byte[600])
                .readAll();
        boolean ok = answer.complete() && answer.status() == 200;
        tally.served.addAndGet(ok ? 1 : 0);
        site.note(
            "client: %s got status %d %s",
            id, answer.status(), ok ? "" : new String(answer.body()));
        Thread.sleep(GAP_MS);
      } catch (Exception e) {
        site.note("client: %s: %s", id, e);
      }
    }
  }
}
