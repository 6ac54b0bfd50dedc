import java.io.IOException;
import java.nio.file.Path;

/**
 * One of two entries is stopped by SIGTERM. A client that holds a directory answer in which the
 * entry is still listed sends a stream's request on its open connection, more than 3 s after the
 * signal. The stream would be complete before GraceS has passed.
 */
final class LateInStop {
  private static final long GRACE_MS = 8_000;
  private static final long TTL_FACTOR = 3;
  private static final long SEND_AFTER_SIGNAL_MS = 3_200;
  private static final int EVENTS = 23;
  private static final long PAUSE_MS = 190;

  private static final String CONFIG =
      """
      {"Version":3,"Routes":[{"Name":"r-plan","Hostname":"shop.example","PathPrefix":"/plan/",\
      "Kind":"streaming","TimeoutMs":8000,"TargetLatencyMs":600,"Priority":1,"Service":"writers",\
      "MaxAttempts":1,"Public":true,"SessionAffinity":false,"AllowResume":false,\
      "TargetGapMs":200}],"Services":[{"Name":"writers","HealthPath":"/health",\
      "MaxConnections":110,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,\
      "MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}""";

  private LateInStop() {}

  public static void main(String[] args) {
    Fleet.exitWith(LateInStop::run, args[0]);
  }

  private static int run(Path recordFile) throws Exception {
    try (Fleet fleet = new Fleet(recordFile);
        Store store = new Store()) {
      store.put("keyed.op", "config", CONFIG);
      try (Server server = new Server(store, "i-writer-1", "writers", "", (request, out) -> {
            fleet.log("server begins " + request.id() + ", X-Deadline-Ms "
                + request.headers().get("x-deadline-ms"));
            writeStream(fleet, request, out);
          })) {
        Fleet.Entry stopped = fleet.addEntry("vm-a", "z-a", store, "");
        Fleet.Entry other = fleet.addEntry("vm-b", "z-a", store, "");
        stopped.start();
        other.start();
        if (!fleet.awaitReady(stopped, 20_000) || !fleet.awaitReady(other, 20_000)) {
          fleet.log("an entry is not ready");
          return Fleet.NOT_RUN;
        }
        return exchange(fleet, store, stopped, other);
      }
    }
  }

  private static void writeStream(Fleet fleet, Server.Request request, java.io.OutputStream out)
      throws Exception {
    boolean brief = request.id().equals("attempt-1");
    Server.write(
        out,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id() + "\r\nX-Server-Seal: seal\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    int events = brief ? 2 : EVENTS;
    for (int i = 1; i <= events; i++) {
      Thread.sleep(brief ? 10 : PAUSE_MS);
      String event = "id: " + i + "\ndata: token" + i + "\n\n";
      Server.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    Server.write(out, "0\r\n\r\n");
    fleet.log("server ended " + request.id() + " after " + events + " events");
  }

  private static int exchange(
      Fleet fleet, Store store, Fleet.Entry stopped, Fleet.Entry other) throws Exception {
    String address = "127.0.0.1:" + stopped.callerPort;
    long listedSinceMs = fleet.nowMs();
    while (!directory(other).contains(address)) {
      if (fleet.nowMs() - listedSinceMs > 10_000) {
        fleet.log("the directory does not list the entry");
        return Fleet.NOT_RUN;
      }
      Thread.sleep(50);
    }
    try (Wire wire = new Wire(stopped.callerPort, 9_000)) {
      wire.send(request("attempt-1"));
      Wire.Answer first = wire.readAnswer(false);
      fleet.log("attempt-1: status " + first.status() + ", complete; the connection stays open");
      // The other entry's next join, at which it may learn of the stop, is a second away.
      store.awaitJoin("vm-b", 5_000);
      long signalMs = fleet.nowMs();
      if (Fleet.troubled()) {
        stopped.signal("TERM");
      }
      long listedMs = lastListed(fleet, other, address, signalMs);
      long validUntilMs = listedMs + TTL_FACTOR * 1_000;
      fleet.log(
          "the directory of vm-b listed vm-a until %d ms after the signal; TtlS 1, so a client that"
              .formatted(listedMs - signalMs)
              + " keeps the answer three times as long uses it until "
              + (validUntilMs - signalMs) + " ms after the signal");
      Thread.sleep(Math.max(0, signalMs + SEND_AFTER_SIGNAL_MS - fleet.nowMs()));
      if (fleet.nowMs() > validUntilMs) {
        fleet.log("the directory answer has expired");
        return Fleet.NOT_RUN;
      }
      wire.send(request("attempt-2"));
      fleet.log("attempt-2 sent " + (fleet.nowMs() - signalMs) + " ms after the signal");
      return read(fleet, wire, signalMs);
    }
  }

  private static int read(Fleet fleet, Wire wire, long signalMs) {
    try {
      Wire.Answer answer = wire.readAnswer(false);
      boolean complete = answer.status() != 200 || answer.text().contains("token" + EVENTS + "\n");
      fleet.log("attempt-2: status " + answer.status() + (complete ? ", complete" : ", cut"));
      fleet.log(complete ? "the rule held" : "BROKEN LOST");
      return complete ? Fleet.RULE_HELD : Fleet.RULE_BROKEN;
    } catch (IOException e) {
      long afterMs = fleet.nowMs() - signalMs;
      fleet.log("attempt-2: the connection ended " + afterMs + " ms after the signal: " + e);
      boolean early = afterMs < GRACE_MS;
      fleet.log(
          early
              ? "BROKEN LOST: the request was passed on, and ended without a complete answer"
              : "cut by the end of GraceS");
      return early ? Fleet.RULE_BROKEN : Fleet.NOT_RUN;
    }
  }

  private static long lastListed(
      Fleet fleet, Fleet.Entry other, String address, long signalMs) throws Exception {
    long listedMs = signalMs;
    while (fleet.nowMs() - signalMs < 2_000) {
      long askedMs = fleet.nowMs();
      if (directory(other).contains(address)) {
        listedMs = askedMs;
      }
      Thread.sleep(20);
    }
    return listedMs;
  }

  private static String directory(Fleet.Entry entry) throws IOException {
    try (Wire wire = new Wire(entry.directoryPort, 1_000)) {
      wire.send(
          "GET /api/resolve?Name=shop.example&Region=z&Zone=z-a HTTP/1.1\r\nHost: directory\r\n"
              + "Connection: close\r\n\r\n");
      return wire.readAnswer(false).text();
    }
  }

  private static String request(String attempt) {
    return "POST /plan/cloth HTTP/1.1\r\nHost: shop.example\r\nX-Deadline-Ms: 8000\r\n"
        + "X-Attempt-Id: " + attempt + "\r\nContent-Length: 5\r\n\r\nplan?";
  }
}
