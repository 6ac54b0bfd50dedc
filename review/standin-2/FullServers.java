import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** All servers but one are full and ask for a wait; that one sheds a part of its requests. */
final class FullServers {
  /** Timeout, deadline and objective of the long streams of a deployment. */
  private static final int TIMEOUT_MS = 5_000;

  private static final int DEADLINE_MS = 5_113;
  private static final int OBJECTIVE_MS = 1_227;
  private static final int TARGET_GAP_MS = 150;

  /** Time after its route's timeout in which a request still counts as answered. */
  private static final int ANSWER_MARGIN_MS = 500;

  private static final int CLIENTS = 40;
  private static final int CLIENT_GAP_MS = 150;
  private static final int LENGTH_MS = 50_000;

  private static final int EVENTS = 9;
  private static final int EVENT_GAP_MS = 120;
  private static final int FIRST_EVENT_MS = 250;

  private static final int SLOTS = 64;
  private static final int FULL_SERVERS = 3;

  /** Part of the requests that the last server sheds. */
  private static final double SHED_SHARE = 0.1;

  /** Time for which a full server wants nothing, in seconds. */
  private static final int RETRY_S = 2;

  private final Site site;
  private final boolean trouble;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicInteger numbers = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger beyondTimeout = new AtomicInteger();
  private final AtomicInteger noFinalAnswer = new AtomicInteger();
  private final AtomicInteger onKeptConnections = new AtomicInteger();
  private final Set<String> cutAtServer = ConcurrentHashMap.newKeySet();

  private FullServers(Site site, boolean trouble) {
    this.site = site;
    this.trouble = trouble;
  }

  public static void main(String[] args) throws Exception {
    int code = 2;
    try (Site site = new Site(Path.of(args[0]))) {
      code = new FullServers(site, !"0".equals(System.getenv("TROUBLE"))).run();
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private int run() throws Exception {
    Backend grey = new Backend("i-grey", this::answerOrShed);
    List<Backend> full = new ArrayList<>();
    for (int i = 0; i < FULL_SERVERS; i++) {
      full.add(new Backend("i-full-" + i, this::answerOrRejectAsFull));
    }
    site.configure(
        1,
        "{\"Name\":\"writers\"}",
        Site.route("plan", "streaming", TIMEOUT_MS, OBJECTIVE_MS, 2, "writers")
            .replace(
                "\"Public\"",
                "\"AllowResume\":false,\"TargetGapMs\":" + TARGET_GAP_MS + ",\"Public\""));
    site.announce(grey, "writers", SLOTS);
    for (Backend server : full) {
      site.announce(server, "writers", SLOTS);
    }
    Entry entry = site.start("edge-a-1");
    entry.awaitReady();
    Thread.sleep(1_000);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Thread client = new Thread(() -> send(entry));
      client.start();
      clients.add(client);
      Thread.sleep(20);
    }
    while (site.nowMs() < LENGTH_MS) {
      Thread.sleep(500);
    }
    ended.set(true);
    for (Thread client : clients) {
      client.join();
    }
    site.note(
        "%d streams whole, %d refused; connections closed under a running stream: %d; streams longer"
            + " than the timeout: %d, without a final answer %d ms after it: %d, of these on kept"
            + " connections: %d",
        served.get(), refused.get(), cutAtServer.size(), beyondTimeout.get(), ANSWER_MARGIN_MS,
        noFinalAnswer.get(), onKeptConnections.get());
    if (noFinalAnswer.get() >= 8 && 4 * noFinalAnswer.get() > beyondTimeout.get()) {
      return 1;
    }
    return served.get() > 100 ? 0 : 2;
  }

  private static void reject(Head request, OutputStream out, String more) throws IOException {
    Backend.write(
        out,
        "HTTP/1.1 503 X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n"
            .formatted(request.header("x-attempt-id").orElse(""), more));
  }

  private boolean answerOrRejectAsFull(Head request, byte[] body, OutputStream out, Socket socket)
      throws Exception {
    if (!trouble) {
      return answer(request, out);
    }
    reject(request, out, "Retry-After: " + RETRY_S + "\r\n");
    site.note("server: full, turned %s away", request.header("x-attempt-id").orElse(""));
    return true;
  }

  private boolean answerOrShed(Head request, byte[] body, OutputStream out, Socket socket)
      throws Exception {
    if (!trouble || Math.random() >= SHED_SHARE) {
      return answer(request, out);
    }
    reject(request, out, "");
    site.note("server: shed %s", request.header("x-attempt-id").orElse(""));
    return true;
  }

  private boolean answer(Head request, OutputStream out) throws Exception {
    String id = request.header("x-attempt-id").orElse("");
    site.note("server: runs %s", id);
    int sent = 0;
    try {
      Thread.sleep(FIRST_EVENT_MS);
      Backend.write(
          out,
          ("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: 1.2.3\r\n"
                  + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
              .formatted(id));
      for (int number = 1; number <= EVENTS; number++) {
        String event = "id: %d\ndata: token\n\n".formatted(number);
        Backend.write(out, "%x\r\n%s\r\n".formatted(event.length(), event));
        sent = number;
        Thread.sleep(EVENT_GAP_MS);
      }
      Backend.write(out, "0\r\n\r\n");
      return true;
    } catch (IOException e) {
      cutAtServer.add(id);
      site.note(
          "server: the entry closed the connection of %s, found after %d of %d events",
          id, sent, EVENTS);
      return false;
    }
  }

  private void send(Entry entry) {
    Client client = null;
    boolean kept = false;
    while (!ended.get()) {
      String id = "plan-" + numbers.incrementAndGet();
      try {
        if (client == null) {
          client = new Client(entry.port());
          kept = false;
        }
        long sentMs = site.nowMs();
        client.setTimeoutMs(TIMEOUT_MS + ANSWER_MARGIN_MS);
        site.note("client: sent %s", id);
        client.send(
            "POST",
            "/plan/x",
            id,
            Site.KEY + "X-Deadline-Ms: " + DEADLINE_MS + "\r\n",
            new byte[770]);
        Client.Answer answer = client.readAll();
        record(id, answer, site.nowMs() - sentMs, kept);
        kept = true;
        if (!answer.complete()) {
          client.close();
          client = null;
        }
        Thread.sleep(CLIENT_GAP_MS);
      } catch (Exception e) {
        site.note("client: %s: %s", id, e);
        client = null;
      }
    }
  }

  private void record(String id, Client.Answer answer, long tookMs, boolean kept) {
    if (tookMs > TIMEOUT_MS) {
      beyondTimeout.incrementAndGet();
    }
    if (answer.complete()) {
      (answer.status() == 200 ? served : refused).incrementAndGet();
      site.note("client: %s got status %d after %d ms", id, answer.status(), tookMs);
      return;
    }
    if (tookMs > TIMEOUT_MS) {
      noFinalAnswer.incrementAndGet();
      onKeptConnections.addAndGet(kept ? 1 : 0);
    }
    site.note(
        "client: %s got status %d and %d bytes after %d ms: %s",
        id, answer.status(), answer.body().length, tookMs, answer.end());
  }
}
