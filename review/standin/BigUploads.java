import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients upload bodies of the size that the configuration allows, and others send small
 * requests. Without TROUBLE=0 a burst makes 1.9 times as many clients upload for 10 s.
 */
final class BigUploads {
  private static final int BODY_BYTES = 4_194_304;
  private static final int UPLOADERS = 10;
  /** Clients during the burst: 1.9 times as many. */
  private static final int BURST_UPLOADERS = 19;
  private static final int SMALL_CLIENTS = 8;
  private static final long WORK_MS = 1_000;
  private static final long CALM_MS = 4_000;
  private static final long BURST_MS = 10_000;
  private static final long AFTER_MS = 4_000;
  private static final int TIMEOUT_MS = 1_000;
  private static final int LATE_MS = 500;

  private static final String CONFIG =
      """
      {"Version":3,"Routes":[{"Name":"r-scan","Hostname":"shop.example","PathPrefix":"/scan/",\
      "Kind":"idempotent","TimeoutMs":8000,"TargetLatencyMs":2000,"Priority":2,"Service":"desk",\
      "MaxAttempts":1,"Public":true},{"Name":"r-peek","Hostname":"shop.example",\
      "PathPrefix":"/peek/","Kind":"idempotent","TimeoutMs":%d,"TargetLatencyMs":100,\
      "Priority":2,"Service":"desk","MaxAttempts":2,"Public":true}],"Services":[{"Name":"desk",\
      "HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}],\
      "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":%d,"HeaderTimeoutMs":3000,\
      "IdleTimeoutMs":15000},"Tenants":[]}"""
          .formatted(TIMEOUT_MS, BODY_BYTES);

  private final Fleet fleet;
  private final Fleet.Entry entry;
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final AtomicInteger attempts = new AtomicInteger();
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private final AtomicInteger unansweredLater = new AtomicInteger();
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private long longestUnreadyMs;

  private BigUploads(Fleet fleet, Fleet.Entry entry) {
    this.fleet = fleet;
    this.entry = entry;
  }

  public static void main(String[] args) {
    Fleet.exitWith(BigUploads::run, args[0]);
  }

  private static int run(Path recordFile) throws Exception {
    try (Fleet fleet = new Fleet(recordFile);
        Store store = new Store()) {
      store.put("keyed.op", "config", CONFIG);
      List<Server> servers = new ArrayList<>();
      for (int i = 1; i <= 4; i++) {
        servers.add(
            new Server(
                store,
                "i-desk-" + i,
                "desk",
                "",
                (request, out) -> {
                  Thread.sleep(request.body().length > 0 ? WORK_MS : 20);
                  Server.writeSuccess(out, request, "done");
                }));
      }
      Fleet.Entry entry = fleet.addEntry("vm-a", "z-a", store, "");
      entry.start();
      if (!fleet.awaitReady(entry, 20_000)) {
        fleet.log("the entry is not ready");
        return Fleet.NOT_RUN;
      }
      Thread.sleep(2_000);
      int result = new BigUploads(fleet, entry).play();
      for (Server server : servers) {
        long uploads = server.requests.stream().filter(r -> r.body().length > 0).count();
        fleet.log(server.id + " ran " + uploads + " uploads, " + server.requests.size() + " in all");
        server.close();
      }
      long memoryErrors =
          entry.logLines().stream().filter(line -> line.contains("OutOfMemoryError")).count();
      fleet.log("log lines of the entry with OutOfMemoryError: " + memoryErrors);
      return result;
    }
  }

  private int play() throws Exception {
    for (int i = 0; i < SMALL_CLIENTS; i++) {
      start(() -> repeat(stopped, this::peek));
    }
    start(() -> repeat(stopped, this::askReady));
    for (int i = 0; i < UPLOADERS; i++) {
      start(() -> repeat(stopped, this::upload));
    }
    fleet.log(UPLOADERS + " clients upload bodies of " + BODY_BYTES + " bytes");
    Thread.sleep(CALM_MS);
    logOutcomes("before the burst");
    AtomicBoolean burstOver = new AtomicBoolean();
    if (Fleet.troubled()) {
      fleet.log("burst: " + BURST_UPLOADERS + " clients upload");
      for (int i = 0; i < BURST_UPLOADERS - UPLOADERS; i++) {
        start(() -> repeat(burstOver, this::upload));
      }
    }
    Thread.sleep(BURST_MS);
    logOutcomes("during the burst");
    burstOver.set(true);
    Thread.sleep(AFTER_MS);
    logOutcomes("after the burst");
    stopped.set(true);
    int atTimeout = unansweredAtTimeout.get();
    int later = unansweredLater.get();
    fleet.log(
        "small requests unanswered at TimeoutMs: %d, and %d ms later: %d; longest time without an"
            .formatted(atTimeout, LATE_MS, later)
            + " answer of the ready page: " + longestUnreadyMs + " ms");
    boolean broken = later > 0 && later * 2 > atTimeout;
    fleet.log(broken ? "BROKEN CONFIG: the entry hangs" : "the rule held");
    return broken ? Fleet.RULE_BROKEN : Fleet.RULE_HELD;
  }

  private interface Action {
    void run() throws Exception;
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "client");
    thread.setDaemon(true);
    thread.start();
  }

  private static void repeat(AtomicBoolean end, Action action) {
    try {
      while (!end.get()) {
        action.run();
      }
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private void upload() throws InterruptedException {
    String id = "upload-" + attempts.incrementAndGet();
    try (Wire wire = new Wire(entry.callerPort, 8_000)) {
      wire.send(
          "POST /scan/receipt HTTP/1.1\r\nHost: shop.example\r\nX-Deadline-Ms: 8000\r\n"
              + "X-Attempt-Id: " + id + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
      wire.send(new byte[BODY_BYTES]);
      count("upload " + wire.readAnswer(false).status());
    } catch (IOException e) {
      count("upload " + e.getClass().getSimpleName());
      Thread.sleep(200);
    }
  }

  /** Sends small requests on a kept connection, and waits for each half a second beyond TimeoutMs. */
  private void peek() throws InterruptedException {
    long sentMs = fleet.nowMs();
    try (Wire wire = new Wire(entry.callerPort, TIMEOUT_MS + LATE_MS)) {
      for (int i = 0; i < 20 && !stopped.get(); i++) {
        String id = "peek-" + attempts.incrementAndGet();
        sentMs = fleet.nowMs();
        wire.send(
            "GET /peek/coupon HTTP/1.1\r\nHost: shop.example\r\nX-Deadline-Ms: 3000\r\n"
                + "X-Attempt-Id: " + id + "\r\n\r\n");
        int status = wire.readAnswer(false).status();
        if (fleet.nowMs() - sentMs > TIMEOUT_MS) {
          unansweredAtTimeout.incrementAndGet();
        }
        count("peek " + status);
        Thread.sleep(50);
      }
    } catch (java.net.SocketTimeoutException e) {
      if (fleet.nowMs() - sentMs >= TIMEOUT_MS + LATE_MS) {
        unansweredAtTimeout.incrementAndGet();
        unansweredLater.incrementAndGet();
      }
      count("peek unanswered");
    } catch (IOException e) {
      count("peek " + e.getClass().getSimpleName());
      Thread.sleep(50);
    }
  }

  private void askReady() throws InterruptedException {
    long askedMs = fleet.nowMs();
    try (Wire wire = new Wire(entry.readyPort, 30_000)) {
      wire.send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
      wire.readAnswer(false);
      longestUnreadyMs = Math.max(longestUnreadyMs, fleet.nowMs() - askedMs);
    } catch (IOException e) {
      count("ready " + e.getClass().getSimpleName());
    }
    Thread.sleep(1_000);
  }

  private synchronized void count(String outcome) {
    outcomes.merge(outcome, 1, Integer::sum);
  }

  private synchronized void logOutcomes(String when) {
    fleet.log(when + ": " + outcomes);
    outcomes.clear();
  }
}
