import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * One client attempt carries the text of a further request in its body. With TROUBLE=0 the body has
 * a length; else its transfer coding is one that no server can frame a request by.
 */
final class Smuggled {
  private static final String CONFIG =
      """
      {"Version":3,"Routes":[{"Name":"r-book","Hostname":"shop.example","PathPrefix":"/book/",\
      "Kind":"non_idempotent","TimeoutMs":1000,"TargetLatencyMs":100,"Priority":2,"Service":"desk",\
      "MaxAttempts":1,"Public":true}],"Services":[{"Name":"desk","HealthPath":"/health",\
      "MaxConnections":110,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,\
      "MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}""";

  private static final String HEAD =
      "POST /book/cloth HTTP/1.1\r\nHost: shop.example\r\nX-Deadline-Ms: 1000\r\nX-Attempt-Id: ";

  private Smuggled() {}

  public static void main(String[] args) {
    Fleet.exitWith(Smuggled::run, args[0]);
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
                Thread.sleep(20);
                Server.writeSuccess(out, request, "booked");
              })) {
        Fleet.Entry entry = fleet.addEntry("vm-a", "z-a", store, "");
        entry.start();
        if (!fleet.awaitReady(entry, 20_000)) {
          fleet.log("the entry is not ready");
          return Fleet.NOT_RUN;
        }
        return sendAll(fleet, server, entry);
      }
    }
  }

  private static int sendAll(Fleet fleet, Server server, Fleet.Entry entry) throws Exception {
    Map<String, String> codings = new LinkedHashMap<>();
    codings.put("identity", "");
    codings.put("gzip", "");
    codings.put("chunked, identity", "0\r\n\r\n");
    Set<String> sent = new LinkedHashSet<>();
    int number = 0;
    for (Map.Entry<String, String> coding : codings.entrySet()) {
      number++;
      String attempt = "client-attempt-" + number;
      sent.add(attempt);
      String inner = HEAD + "smuggled-" + number + "\r\nContent-Length: 0\r\n\r\n";
      String framing =
          Fleet.troubled()
              ? "Transfer-Encoding: " + coding.getKey() + "\r\n\r\n" + coding.getValue()
              : "Content-Length: " + inner.length() + "\r\n\r\n";
      fleet.log("client sends " + attempt + " with " + framing.split("\r\n")[0]);
      exchange(fleet, entry, HEAD + attempt + "\r\n" + framing + inner);
    }
    return judge(fleet, server, sent);
  }

  private static void exchange(Fleet fleet, Fleet.Entry entry, String bytes) throws IOException {
    try (Wire wire = new Wire(entry.callerPort, 1_500)) {
      wire.send(bytes.getBytes(StandardCharsets.ISO_8859_1));
      while (true) {
        Wire.Answer answer = wire.readAnswer(false);
        fleet.log(
            "client got " + answer.status() + " for attempt " + answer.header("X-Attempt-Id"));
      }
    } catch (IOException e) {
      fleet.log("client stops reading: " + e.getMessage());
    }
  }

  private static int judge(Fleet fleet, Server server, Set<String> sent) {
    int unasked = 0;
    for (Server.Request request : server.requests) {
      if (!sent.contains(request.id())) {
        unasked++;
        fleet.log("BROKEN UNASKED: the server ran " + request.id() + ", which no client sent");
      }
    }
    if (server.requests.isEmpty() && !Fleet.troubled()) {
      fleet.log("no request reached the server");
      return Fleet.NOT_RUN;
    }
    fleet.log(unasked == 0 ? "the rule held" : "the rule is broken " + unasked + " times");
    return unasked == 0 ? Fleet.RULE_HELD : Fleet.RULE_BROKEN;
  }
}
