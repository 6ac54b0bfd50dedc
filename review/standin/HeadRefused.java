import java.io.IOException;
import java.nio.file.Path;

/**
 * A client sends HEAD and then GET on one kept connection. Without TROUBLE=0 the store answers 503
 * for some seconds, so that the entry refuses requests that bear a key.
 */
final class HeadRefused {
  private static final String KEY = "2b9wu3fexd9dnn2ctnfz";
  private static final long STORE_DOWN_MS = 7_000;

  /** Time into the outage: the entry may accept keys for 5 s (RevokeMs) after its last read. */
  private static final long REQUEST_AFTER_MS = 6_000;

  private static final String CONFIG =
      """
      {"Version":3,"Routes":[{"Name":"r-peek","Hostname":"shop.example","PathPrefix":"/peek/",\
      "Kind":"idempotent","TimeoutMs":1000,"TargetLatencyMs":100,"Priority":2,"Service":"desk",\
      "MaxAttempts":2,"Public":false}],"Services":[{"Name":"desk","HealthPath":"/health",\
      "MaxConnections":110,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,\
      "MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},\
      "Tenants":[{"Name":"huka270","ApiKeys":["%s"],"Priority":1}]}"""
          .formatted(KEY);

  private HeadRefused() {}

  public static void main(String[] args) {
    Fleet.exitWith(HeadRefused::run, args[0]);
  }

  private static int run(Path recordFile) throws Exception {
    try (Fleet fleet = new Fleet(recordFile);
        Store store = new Store()) {
      store.put("keyed.op", "config", CONFIG);
      try (Server server =
          new Server(
              store,
              "i-desk-1",
              "desk",
              "",
              (request, out) -> {
                fleet.log("server ran " + request.id() + ": " + request.line());
                Server.writeSuccess(out, request, "42 in stock");
              })) {
        Fleet.Entry entry = fleet.addEntry("vm-a", "z-a", store, "");
        entry.start();
        if (!fleet.awaitReady(entry, 20_000)) {
          fleet.log("the entry is not ready");
          return Fleet.NOT_RUN;
        }
        Thread.sleep(1_000);
        if (Fleet.troubled()) {
          fleet.log("the store answers 503 from now on");
          store.setDown(true);
        }
        Thread.sleep(REQUEST_AFTER_MS);
        int result = exchange(fleet, entry, STORE_DOWN_MS - REQUEST_AFTER_MS, store);
        fleet.log("requests that ran: " + server.requests.size());
        return result;
      }
    }
  }

  private static int exchange(Fleet fleet, Fleet.Entry entry, long downForMs, Store store)
      throws Exception {
    try (Wire wire = new Wire(entry.callerPort, 2_000)) {
      wire.send(request("HEAD", "attempt-1"));
      Wire.Answer head = wire.readAnswer(true);
      fleet.log(
          "HEAD attempt-1: status " + head.status() + ", connection "
              + (head.header("Connection").isEmpty() ? "stays open" : head.header("Connection")));
      Thread.sleep(downForMs);
      store.setDown(false);
      fleet.log("the store answers");
      // The client comes back after Retry-After, when the entry has read the store again.
      Thread.sleep(1_000);
      if (head.header("Connection").equalsIgnoreCase("close")) {
        fleet.log("the connection may not be used again: the rule held");
        return Fleet.RULE_HELD;
      }
      wire.send(request("GET", "attempt-2"));
      Wire.Answer answer = wire.readAnswer(false);
      fleet.log(
          "GET attempt-2: status %d, for attempt %s, body %s"
              .formatted(answer.status(), answer.header("X-Attempt-Id"), answer.text()));
      boolean own =
          answer.status() != 200 || answer.header("X-Attempt-Id").equals("attempt-2");
      fleet.log(own ? "the rule held" : "BROKEN MIXED: the answer is another request's");
      return own ? Fleet.RULE_HELD : Fleet.RULE_BROKEN;
    } catch (Wire.NoAnswer e) {
      fleet.log("BROKEN MIXED: GET attempt-2 got bytes that are no answer: " + e.getMessage());
      return Fleet.RULE_BROKEN;
    } catch (IOException e) {
      fleet.log("the client got no answer: " + e);
      return Fleet.NOT_RUN;
    }
  }

  private static String request(String method, String attempt) {
    return method
        + " /peek/cloth HTTP/1.1\r\nHost: shop.example\r\nX-Deadline-Ms: 1000\r\nX-Attempt-Id: "
        + attempt + "\r\nAuthorization: Bearer " + KEY + "\r\n\r\n";
  }
}
