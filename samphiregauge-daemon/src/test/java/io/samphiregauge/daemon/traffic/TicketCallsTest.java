package io.samphiregauge.daemon.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.samphiregauge.net.Codec;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.entry.ErrorAnswer;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.standin.ServiceFaults;
import io.samphiregauge.standins.ServiceStandin;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against non-idempotent requests that run twice or are wrongly reported as not run. */
class TicketCallsTest {
  private static final String BOOKING_PATH = "/v1/services/booking/book";

  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private ServiceStandin booking;
  private ServiceStandin other;
  private TestEntry owner;
  private TestEntry peer;

  @BeforeEach
  void start() {
    booking = ServiceStandin.start(loops, TestEntry.ANY, "b1");
    other = ServiceStandin.start(loops, TestEntry.ANY, "b2");
    List<Backend> backends =
        List.of(
            TestEntry.service("b1", "booking", booking.address()),
            TestEntry.service("b2", "booking", other.address()));
    owner = new TestEntry("vm1", 2, 5_000, backends);
    peer = new TestEntry("vm2", 2, 5_000, backends);
    owner.setMembers(List.of(owner, peer));
    peer.setMembers(List.of(owner, peer));
  }

  @AfterEach
  void stop() {
    owner.close();
    peer.close();
    booking.close();
    other.close();
    loops.shutdownGracefully();
  }

  @Test
  void issuesATicketWhenTheCallHasNone() {
    try (RawCaller caller = owner.caller()) {
      RawCaller.Response response =
          caller.exchange("POST", BOOKING_PATH, RawCaller.keyHeader(TestEntry.KEY), "{}");
      assertThat(response.status()).isEqualTo(428);
      assertThat(response.body()).contains("ticket_required", "not_run");
    }
    assertThat(booking.record().getCalls() + other.record().getCalls()).isZero();
  }

  @Test
  void runsOnceForRepeatsOnBothEntriesAtOnce() {
    booking.setFaults(new ServiceFaults(50, 0, 0));
    other.setFaults(new ServiceFaults(50, 0, 0));
    String ticket = ticket(owner);
    List<CompletableFuture<RawCaller.Response>> responses =
        IntStream.range(0, 8)
            .mapToObj(
                i -> CompletableFuture.supplyAsync(() -> book(i % 2 == 0 ? owner : peer, ticket)))
            .toList();
    for (CompletableFuture<RawCaller.Response> response : responses) {
      assertThat(response.join().status()).isEqualTo(200);
      assertThat(response.join().body()).isEqualTo(responses.get(0).join().body());
    }
    assertThat(book(peer, ticket).body()).isEqualTo(responses.get(0).join().body());
    assertThat(booking.runs(ticket) + other.runs(ticket)).isEqualTo(1);
    assertThat(outcome(peer, ticket)).contains("\"done\"");
  }

  @Test
  void reportsOutcomeUnknownAndDoesNotRerunWhenTheResponseIsLost() {
    booking.setFaults(new ServiceFaults(0, 0, 1));
    other.setFaults(new ServiceFaults(0, 0, 1));
    String ticket = ticket(owner);
    RawCaller.Response first = book(owner, ticket);
    assertThat(first.status()).isEqualTo(409);
    assertThat(first.body()).contains("outcome_unknown");
    assertThat(book(peer, ticket).body()).contains("outcome_unknown");
    assertThat(booking.runs(ticket) + other.runs(ticket)).isEqualTo(1);
    assertThat(outcome(owner, ticket)).contains("\"unknown\"");
  }

  @Test
  void completesAfterTheCallerDisconnectsSoThatARepeatGetsTheResponse() {
    booking.setFaults(new ServiceFaults(100, 0, 0));
    other.setFaults(new ServiceFaults(100, 0, 0));
    String ticket = ticket(owner);
    try (RawCaller caller = owner.caller()) {
      caller.send(RawCaller.request("POST", BOOKING_PATH, headers(TestEntry.KEY, ticket), "{}"));
      awaitCall();
    }
    assertThat(book(owner, ticket).status()).isEqualTo(200);
    assertThat(booking.runs(ticket) + other.runs(ticket)).isEqualTo(1);
  }

  @Test
  void rejectsATicketWhoseProcessHasEnded() {
    Incarnation ended = new Incarnation("vm9", 5L, 5L);
    owner.markEnded(ended);
    RawCaller.Response response = book(owner, "vm9.5.5.1.0");
    assertThat(response.status()).isEqualTo(409);
    assertThat(response.body()).contains("ticket_owner_ended", "outcome_unknown");
  }

  @Test
  void invalidatesTheTicketOfARequestRejectedAsNotRun() {
    owner.configure(List.of(TestEntry.KEY), List.of());
    String ticket = ticket(owner);
    assertThat(book(owner, ticket).body()).contains("not_run");
    owner.configure(
        List.of(TestEntry.KEY), List.of(TestEntry.service("b1", "booking", booking.address())));
    assertThat(book(owner, ticket).body()).contains("not_run");
    assertThat(booking.record().getCalls()).isZero();
  }

  @Test
  void reportsOutcomeUnknownForARepeatWhoseKeyWasWithdrawn() {
    String ticket = ticket(owner);
    assertThat(book(owner, ticket).status()).isEqualTo(200);
    owner.configure(List.of("new"), List.of());
    RawCaller.Response repeat = book(owner, ticket);
    assertThat(repeat.status()).isEqualTo(401);
    assertThat(repeat.body()).contains("outcome_unknown");
  }

  private void awaitCall() {
    for (int i = 0; i < 10_000; i++) {
      if (booking.record().getCalls() + other.record().getCalls() > 0) {
        return;
      }
    }
  }

  private static String ticket(TestEntry entry) {
    try (RawCaller caller = entry.caller()) {
      String body =
          caller.exchange("POST", BOOKING_PATH, RawCaller.keyHeader(TestEntry.KEY), "{}").body();
      return Codec.json()
          .decode(body.getBytes(StandardCharsets.UTF_8), ErrorAnswer.class)
          .value()
          .orElseThrow()
          .getError()
          .getTicket()
          .orElseThrow();
    }
  }

  private static RawCaller.Response book(TestEntry entry, String ticket) {
    try (RawCaller caller = entry.caller()) {
      return caller.exchange("POST", BOOKING_PATH, headers(TestEntry.KEY, ticket), "{}");
    }
  }

  private static String outcome(TestEntry entry, String ticket) {
    try (RawCaller caller = entry.caller()) {
      return caller
          .exchange("GET", "/v1/outcomes/" + ticket, RawCaller.keyHeader(TestEntry.KEY), "")
          .body();
    }
  }

  private static String headers(String key, String ticket) {
    return RawCaller.keyHeader(key) + "Samphire-Ticket: " + ticket + "\r\n";
  }
}
