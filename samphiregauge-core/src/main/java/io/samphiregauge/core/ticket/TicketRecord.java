package io.samphiregauge.core.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** State of one ticket and its request; owned by a {@link TicketTable}. */
final class TicketRecord<W> {
  /** Phases of a ticket, in the order in which it passes through them. */
  enum Phase {
    ISSUED,
    ACCEPTED,
    DISPATCHED,
    SETTLED
  }

  private final Ticket ticket;
  private final List<W> waiters = new ArrayList<>(1);
  private Phase phase = Phase.ISSUED;
  private Optional<TicketRequest> request = Optional.empty();
  private Optional<TicketReply> reply = Optional.empty();
  private boolean completed;

  TicketRecord(Ticket ticket) {
    this.ticket = ticket;
  }

  Ticket ticket() {
    return ticket;
  }

  Phase phase() {
    return phase;
  }

  boolean isRunning() {
    return phase == Phase.ACCEPTED || phase == Phase.DISPATCHED;
  }

  /** Returns whether the ticket is unused or was first used for an equal request. */
  boolean belongsTo(TicketRequest other) {
    return request.isEmpty() || request.get().equals(other);
  }

  boolean belongsTo(String team) {
    return request.filter(r -> r.team().equals(team)).isPresent();
  }

  Optional<TicketReply> reply() {
    return reply;
  }

  /** Returns whether the request ran to completion, even if its response was not recorded. */
  boolean completed() {
    return completed;
  }

  int waiterCount() {
    return waiters.size();
  }

  void addWaiter(W waiter) {
    waiters.add(waiter);
  }

  void accept(TicketRequest first, W waiter) {
    request = Optional.of(first);
    phase = Phase.ACCEPTED;
    addWaiter(waiter);
  }

  void markDispatched() {
    phase = Phase.DISPATCHED;
  }

  /** Stores the reply for repeats, and removes and returns the current waiters. */
  List<W> settle(TicketReply finalReply, boolean ranToCompletion) {
    phase = Phase.SETTLED;
    reply = Optional.of(finalReply);
    completed = ranToCompletion;
    List<W> settled = List.copyOf(waiters);
    waiters.clear();
    return settled;
  }

  /** Settles an unused ticket with a refusal. */
  void refuse(TicketRequest first, TicketReply refusal) {
    request = Optional.of(first);
    settle(refusal, false);
  }
}
