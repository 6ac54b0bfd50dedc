package io.samphiregauge.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.ctl.ApplyReport;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Runs the demo: starts a cluster in this process, applies a note, and sends sample requests. */
final class Demo {
  private static final String TICKET_HEADER = "Samphire-Ticket";

  /** The service counts runs by this header, because the entry does not forward the ticket. */
  private static final String IDEMPOTENCY_HEADER = "Idempotency-Key";

  private static final int NS_PER_MS = 1_000_000;
  private static final String PROMPT =
      "{\"model\":\"%s\",\"prompt\":\"When is the cloth presented?\",\"max_tokens\":5}"
          .formatted(DemoCluster.MODEL);

  private final DemoCluster cluster;
  private final Session session;
  private final String key;
  private final HttpClient client = HttpClient.newHttpClient();

  private Demo(DemoCluster cluster, Session session, String key) {
    this.cluster = cluster;
    this.session = session;
    this.key = key;
  }

  /** Runs the demo; with {@code --keep}, the cluster runs on until the process is interrupted. */
  static Result<Report> run(Session session, CommandOptions.Demo options) {
    Result<DemoCluster> started = DemoCluster.start(() -> System.nanoTime() / NS_PER_MS);
    return started.flatMap(cluster -> run(cluster, session::printProgress, options.keep));
  }

  private static Result<Report> run(DemoCluster cluster, Consumer<String> progress, boolean keep) {
    try (cluster;
        Session session =
            new Session(Optional.of(cluster.logUrl()), cluster.entryAddresses(), progress)) {
      Demo demo = new Demo(cluster, session, NoteCommands.generateKey());
      return demo.runScenario()
          .flatMap(report -> keep ? demo.keepRunning(report) : Result.success(report));
    }
  }

  private Result<Report> runScenario() {
    session.printProgress("log " + cluster.logUrl());
    cluster.entryAddresses().forEach(address -> session.printProgress("entry http://" + address));
    Result<ApplyReport> applied =
        NoteRollout.append(session, view -> Result.success(cluster.initialNote(key)))
            .map(accepted -> NoteRollout.awaitInForce(session, accepted));
    return applied.flatMap(this::sendRequests);
  }

  private Result<Report> sendRequests(ApplyReport applied) {
    NoteRollout.toReport(applied).lines().forEach(session::printProgress);
    try {
      session.printProgress("");
      session.printProgress("POST /v1/completions " + PROMPT);
      streamCompletion();
      session.printProgress("");
      bookWithTicket();
      session.printProgress("");
      return ViewCommands.status(session);
    } catch (IOException e) {
      return Result.failed(new CtlFailure.TooLate("The request to the entry failed: " + e));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Result.failed(new CtlFailure.TooLate("The demo was interrupted."));
    }
  }

  /** Sends a completion request and prints each line of the response as it arrives. */
  private void streamCompletion() throws IOException, InterruptedException {
    HttpRequest request =
        request("/v1/completions").POST(HttpRequest.BodyPublishers.ofString(PROMPT)).build();
    HttpResponse<Stream<String>> response =
        client.send(request, HttpResponse.BodyHandlers.ofLines());
    response.body().filter(line -> !line.isEmpty()).forEach(session::printProgress);
  }

  /**
   * Requests a booking without a ticket, which is rejected with a new ticket, then twice with that
   * ticket, which runs the booking once.
   */
  private void bookWithTicket() throws IOException, InterruptedException {
    String path = "/v1/services/%s/book".formatted(DemoCluster.SERVICE);
    session.printProgress("POST " + path + " without a ticket, then twice with one");
    HttpResponse<String> rejected = book(path, Optional.empty());
    session.printProgress(rejected.statusCode() + " " + rejected.body());
    String ticket = parseTicket(rejected.body());
    for (int attempt = 0; attempt < 2; attempt++) {
      HttpResponse<String> response = book(path, Optional.of(ticket));
      session.printProgress(response.statusCode() + " " + response.body());
    }
    session.printProgress("runs of this ticket on the service: " + cluster.runCount(ticket));
  }

  private HttpResponse<String> book(String path, Optional<String> ticket)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        request(path).POST(HttpRequest.BodyPublishers.ofString("{\"family\":\"Suda\"}"));
    ticket.ifPresent(text -> request.headers(TICKET_HEADER, text, IDEMPOTENCY_HEADER, text));
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpRequest.Builder request(String path) {
    String entry = cluster.entryAddresses().get(0);
    return HttpRequest.newBuilder(URI.create("http://" + entry + path))
        .header("Authorization", "Bearer " + key);
  }

  private static String parseTicket(String responseBody) {
    return Codec.json()
        .decodeTree(responseBody.getBytes(StandardCharsets.UTF_8))
        .map((JsonNode tree) -> tree.path("error").path("ticket").asText(""))
        .value()
        .orElse("");
  }

  private Result<Report> keepRunning(Report report) {
    report.lines().forEach(session::printProgress);
    exampleCommands().forEach(session::printProgress);
    try {
      new CountDownLatch(1).await();
      return Result.success(report);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Result.success(report);
    }
  }

  private List<String> exampleCommands() {
    String entry = "http://" + cluster.entryAddresses().get(0);
    String bearer = "-H 'Authorization: Bearer " + key + "'";
    return List.of(
        "",
        "The system runs until you press Ctrl-C. Try:",
        "curl -N %s -d '%s' %s/v1/completions".formatted(bearer, PROMPT, entry),
        "curl %s '%s/v1/directory?model=%s'".formatted(bearer, entry, DemoCluster.MODEL),
        "curl %s/v1/status".formatted(entry),
        "curl %s/metrics".formatted(entry),
        "bin/samphirectl history --log " + cluster.logUrl(),
        "bin/samphirectl drain engine-th-central-a --log %s --entry %s"
            .formatted(cluster.logUrl(), cluster.entryAddresses().get(0)));
  }
}
