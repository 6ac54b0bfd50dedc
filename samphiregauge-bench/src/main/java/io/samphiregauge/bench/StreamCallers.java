package io.samphiregauge.bench;

import io.samphiregauge.net.Address;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Callers that each keep one stream running and compare every response byte by byte. */
final class StreamCallers {
  static final String KEY = "secret";

  private static final int TOKENS_PER_STREAM = 100;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<CompletableFuture<Void>> completions = new ArrayList<>();
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger maxRunning = new AtomicInteger();
  private final LongAdder completed = new LongAdder();
  private final LongAdder refusedConnections = new LongAdder();
  private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
  private final ConcurrentHashMap<Address, LongAdder> completedByEntry = new ConcurrentHashMap<>();
  private volatile List<Address> addresses;
  private volatile boolean stopping;

  private StreamCallers(List<Address> addresses) {
    this.addresses = addresses;
  }

  static StreamCallers start(int count, List<Address> addresses) {
    StreamCallers callers = new StreamCallers(addresses);
    for (int i = 0; i < count; i++) {
      CompletableFuture<Void> completion = new CompletableFuture<>();
      callers.completions.add(completion);
      callers.startNext("u" + i, i, completion);
    }
    return callers;
  }

  /** Replaces the addresses for new streams, as a directory update does; running streams stay. */
  void useAddresses(List<Address> newAddresses) {
    addresses = newAddresses;
  }

  /** Waits for all streams to complete, prints the counts, and returns whether none had a fault. */
  boolean finish() {
    stopping = true;
    completions.forEach(CompletableFuture::join);
    System.out.printf(
        "whole %d  faults %d  most at once %d  refused connections %d  tokens a stream %d%n",
        completed.sum(),
        faults.size(),
        maxRunning.get(),
        refusedConnections.sum(),
        TOKENS_PER_STREAM);
    completedByEntry.forEach(
        (entry, count) -> System.out.printf("entry %s whole %s%n", entry, count));
    faults.stream().limit(5).forEach(System.out::println);
    return faults.isEmpty();
  }

  private void startNext(String user, int attempt, CompletableFuture<Void> completion) {
    if (stopping) {
      completion.complete(null);
      return;
    }
    List<Address> current = addresses;
    Address entry = current.get(attempt % current.size());
    maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
    client
        .sendAsync(request(user, entry), HttpResponse.BodyHandlers.ofString())
        .whenComplete(
            (response, failure) -> {
              running.decrementAndGet();
              check(user, entry, response, failure);
              startNext(user, attempt + 1, completion);
            });
  }

  private void check(String user, Address entry, HttpResponse<String> response, Throwable failure) {
    if (failure != null) {
      Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
      if (cause instanceof ConnectException) {
        refusedConnections.increment();
      } else {
        faults.add(user + ": " + cause);
      }
    } else if (response.statusCode() != 200 || !response.body().equals(expectedBody(user))) {
      faults.add(user + ": status " + response.statusCode() + " body " + response.body());
    } else {
      completed.increment();
      completedByEntry.computeIfAbsent(entry, address -> new LongAdder()).increment();
    }
  }

  private static HttpRequest request(String user, Address entry) {
    String body =
        "{\"model\":\"m1\",\"user\":\"%s\",\"max_tokens\":%d}".formatted(user, TOKENS_PER_STREAM);
    return HttpRequest.newBuilder(URI.create("http://" + entry + "/v1/completions"))
        .header("Authorization", "Bearer " + KEY)
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }

  private static String expectedBody(String user) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < TOKENS_PER_STREAM; i++) {
      text.append("data: {\"index\":%d,\"text\":\"%s:t%d \"}\n\n".formatted(i, user, i));
    }
    return text.append("data: [DONE]\n\n").toString();
  }
}
