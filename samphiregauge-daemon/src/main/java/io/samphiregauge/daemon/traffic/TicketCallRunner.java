package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.result.Failure;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.core.ticket.Settlement;
import io.samphiregauge.core.ticket.Ticket;
import io.samphiregauge.core.ticket.TicketDecision;
import io.samphiregauge.core.ticket.TicketLimits;
import io.samphiregauge.core.ticket.TicketReply;
import io.samphiregauge.core.ticket.TicketRequest;
import io.samphiregauge.core.ticket.TicketTable;
import io.samphiregauge.schema.entry.TicketOutcome;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Runs calls with tickets, each on the event loop that owns its ticket. */
final class TicketCallRunner {
  private final List<EventLoopState> loops;
  private final int maxResponseBytes;

  TicketCallRunner(List<EventLoopState> loops, int loopCount) {
    this.loops = loops;
    this.maxResponseBytes = TicketLimits.perPartition(loopCount).maxResponseBytes();
  }

  /** Issues a ticket of the event loop that asks. */
  Result<Ticket> issue(EventLoopState loop) {
    return loop.tickets().issue(loop.context().clock().nowMs());
  }

  /**
   * Runs a call unless its ticket was used before.
   *
   * @param ticket a ticket of this process
   * @param call the call
   * @param admission gives the reason why the call must not run now, if there is one
   * @param waiter takes the reply, on the event loop of the ticket
   */
  void run(
      Ticket ticket,
      BackendCall call,
      Supplier<Optional<? extends Failure>> admission,
      Consumer<TicketReply> waiter) {
    EventLoopState owner = owner(ticket);
    owner.eventLoop().execute(() -> useTicket(owner, ticket, call, admission, waiter));
  }

  /** Tells what became of a call, on the event loop of its ticket. */
  void queryOutcome(Ticket ticket, String team, Consumer<TicketOutcome> taker) {
    EventLoopState owner = owner(ticket);
    owner
        .eventLoop()
        .execute(() -> taker.accept(owner.tickets().outcome(ticket, team, nowMs(owner))));
  }

  private EventLoopState owner(Ticket ticket) {
    return loops.get(ticket.partition(loops.size()));
  }

  private void useTicket(
      EventLoopState owner,
      Ticket ticket,
      BackendCall call,
      Supplier<Optional<? extends Failure>> admission,
      Consumer<TicketReply> waiter) {
    TicketRequest request = new TicketRequest(call.teamLabel(), call.fingerprint());
    TicketDecision decision = owner.tickets().use(ticket, request, waiter, nowMs(owner), admission);
    if (decision instanceof TicketDecision.Run) {
      createExecution(owner, ticket, call).start();
    } else if (decision instanceof TicketDecision.Reply reply) {
      waiter.accept(reply.reply());
    }
  }

  private CallExecution createExecution(EventLoopState owner, Ticket ticket, BackendCall call) {
    TicketTable<Consumer<TicketReply>> book = owner.tickets();
    ResponseSink output =
        ResponseRecorder.createSink(
            maxResponseBytes,
            answer -> notifyWaiters(book.complete(ticket, answer, nowMs(owner))),
            failure -> notifyWaiters(book.fail(ticket, failure, nowMs(owner))));
    return new CallExecution(
        owner, call, output, () -> book.markDispatched(ticket).value().isPresent());
  }

  private static void notifyWaiters(Optional<Settlement<Consumer<TicketReply>>> settlement) {
    settlement.ifPresent(
        settled -> settled.waiters().forEach(waiter -> waiter.accept(settled.reply())));
  }

  private static long nowMs(EventLoopState loop) {
    return loop.context().clock().nowMs();
  }
}
