package io.samphiregauge.core.ticket;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiregauge.core.log.Fold;
import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.schema.record.Ended;
import io.samphiregauge.schema.record.Incarnation;
import io.samphiregauge.schema.record.Joined;
import io.samphiregauge.schema.record.LogRecord;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TicketTest {
  private static final Incarnation OWNER = new Incarnation("vm.1", 1_000, -7);
  private static final Incarnation OTHER = new Incarnation("vm-2", 1_000, 8);
  private static final Joined JOINED = new Joined("luzon", "d1", "10.0.0.1:80", "10.0.0.1:90");

  /** A change of the owner or number in the text form would name the request of another process. */
  @Property(seed = "17", tries = 200)
  void parsingTheTextReturnsTheSameTicket(
      @ForAll long startMs,
      @ForAll long nonce,
      @ForAll @LongRange(min = 0) long issuedMs,
      @ForAll @LongRange(min = 0) long number) {
    Ticket ticket = new Ticket(new Incarnation("vm.a.1", startMs, nonce), issuedMs, number);
    assertThat(Ticket.parse(ticket.text()).value()).contains(ticket);
  }

  /** Callers can send any text: it must not throw, and only one text may stand for a ticket. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "vm.1.2.3",
        ".1.2.3.4",
        "vm.1.2.3.-4",
        "vm.1.2.3.04",
        "vm.1.2.3.99999999999999999999",
        "vm.1.2.3.4 "
      })
  void refusesMalformedText(String text) {
    assertThat(Ticket.parse(text).failure()).contains(new TicketFailure.Malformed(text.length()));
  }

  /** Only the process that issued a ticket knows whether its request has already run. */
  @Test
  void onlyTheOwnerHandlesATicket() {
    Ticket ticket = new Ticket(OWNER, 5, 6);
    FoldedState joined = fold(FoldedState.empty(), 0, OWNER, 1, JOINED);
    assertThat(TicketRouting.route(ticket, OWNER, joined, false))
        .isEqualTo(new TicketRoute.Local(ticket));
    assertThat(TicketRouting.route(ticket, OTHER, joined, false))
        .isEqualTo(new TicketRoute.Forward(ticket, "10.0.0.1:80"));
    assertUnknown(TicketRouting.route(ticket, OTHER, joined, true));
    assertUnknown(TicketRouting.route(ticket, OTHER, FoldedState.empty(), false));
    FoldedState ended = Fold.apply(joined, 1, new LogRecord(OWNER, 2, new Ended(OWNER))).state();
    assertUnknown(TicketRouting.route(ticket, OWNER, ended, false));
    FoldedState restarted = fold(joined, 1, new Incarnation("vm.1", 2_000, 3), 1, JOINED);
    assertUnknown(TicketRouting.route(ticket, OTHER, restarted, false));
  }

  private static FoldedState fold(
      FoldedState state, long offset, Incarnation writer, long sequence, Joined joined) {
    return Fold.apply(state, offset, new LogRecord(writer, sequence, joined)).state();
  }

  private static void assertUnknown(TicketRoute place) {
    assertThat(((TicketRoute.Unroutable) place).reply().isNotRun()).isFalse();
  }
}
