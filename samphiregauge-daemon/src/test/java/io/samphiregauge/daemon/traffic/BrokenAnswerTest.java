package io.samphiregauge.daemon.traffic;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.net.Address;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an answer of a backend server that is broken and that a caller gets. */
@Timeout(60)
class BrokenAnswerTest {
  private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");
  private static final String COMPLETION = "{\"model\":\"m1\",\"max_tokens\":5}";
  private static final String STREAM = "Content-Type: text/event-stream\r\n";
  private static final String KEY = RawCaller.keyHeader(TestEntry.KEY) + "Connection: close\r\n";

  private static final String BOOKING = "/v1/services/booking/book";
  private static final Pattern TICKET = Pattern.compile("\"ticket\":\"([^\"]+)\"");

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private ServerSocket server;
  private TestEntry entry;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    Address address = new Address("127.0.0.1", server.getLocalPort());
    entry =
        new TestEntry(
            "vm1",
            1,
            5_000,
            List.of(
                TestEntry.engine("e1", address),
                TestEntry.service("b1", "booking", address),
                TestEntry.service("w1", "wallet", address),
                TestEntry.service("n1", "news", address)));
  }

  @AfterEach
  void stop() throws IOException {
    entry.close();
    server.close();
    threads.shutdownNow();
  }

  /** Answers each request with the same bytes, and then closes or resets its connection. */
  private void answerAll(String answer, boolean reset) {
    threads.execute(
        () -> {
          while (!server.isClosed()) {
            try {
              answerOne(answer, reset);
            } catch (IOException e) {
              // The entry has closed the connection, or the test the server.
            } catch (InterruptedException e) {
              return;
            }
          }
        });
  }

  private void answerOne(String answer, boolean reset) throws IOException, InterruptedException {
    try (Socket socket = server.accept()) {
      readRequest(socket.getInputStream());
      socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      if (reset) {
        // A reset discards what the entry has not read.
        MILLISECONDS.sleep(100);
        socket.setSoLinger(true, 0);
      }
    }
  }

  private static void readRequest(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("the request head is not complete: " + head);
      }
      head.append((char) next);
    }
    Matcher length = LENGTH.matcher(head);
    in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
  }

  /** Returns one call of each kind: engine, booking with a ticket, idempotent, and public. */
  private List<String> requests() throws IOException {
    Matcher ticket = TICKET.matcher(exchange(RawCaller.request("POST", BOOKING, KEY, "{}")));
    assertThat(ticket.find()).isTrue();
    return List.of(
        RawCaller.request("POST", "/v1/completions", KEY, COMPLETION),
        RawCaller.request(
            "POST", BOOKING, KEY + "Samphire-Ticket: " + ticket.group(1) + "\r\n", "{}"),
        RawCaller.request("GET", "/v1/services/wallet/b", KEY, ""),
        RawCaller.request("GET", "/v1/services/news/today", KEY, ""));
  }

  /** Sends a request and returns all bytes until the entry closes the connection. */
  private String exchange(String request) throws IOException {
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), entry.server.address().port())) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 X\r\n",
        "HTTP/1.1 600 X\r\n",
        "\u0000HTTP/1.1 200 X\r\n",
        "HTTP/1.1 200 X\r\nX Note: a\r\n",
        "HTTP/1.1 200 X\r\nX\u0001Note: a\r\n",
        "HTTP/1.1 200 X\r\nX-Note : a\r\n",
        "HTTP/1.1 200 X\r\nContent-Length : 2\r\n"
      })
  void answerWithBrokenHeadIsNotDelivered(String start) throws Exception {
    answerAll(start + STREAM + "Content-Length: 15\r\n\r\ndata: whole\n\n\n\n", false);
    for (String request : requests()) {
      assertThat(exchange(request))
          .matches("(?s)HTTP/1.1 (409|50[23]) .*")
          .contains("outcome_unknown")
          .doesNotContain("whole")
          .doesNotContainIgnoringCase("note");
    }
  }

  /** Guards against a part of an answer without a length that looks like a whole one. */
  @ParameterizedTest
  @ValueSource(strings = {"", STREAM})
  void answerWithoutLengthThatIsResetHasNoRegularEnd(String fields) throws Exception {
    answerAll("HTTP/1.1 200 X\r\n" + fields + "\r\ndata: part\n\n", true);
    for (String request : requests()) {
      String response = exchange(request);
      String lower = response.toLowerCase(Locale.ROOT);
      assertThat(response.startsWith("HTTP/1.1 200") && lower.contains("content-length"))
          .as(response)
          .isFalse();
      assertThat(response).doesNotContain("0\r\n\r\n");
    }
  }
}
