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

/** Runs calls with tickets, each on the event loop that owns its ticket; thread-safe. */
final class TicketCallRunner {
  private final List<EventLoopState> loops;
  private final int maxResponseBytes;

  TicketCallRunner(List<EventLoopState> loops, int loopCount) {
    this.loops = loops;
    this.maxResponseBytes = TicketLimits.perPartition(loopCount).maxResponseBytes();
  }

  /** Issues a ticket owned by the given event loop; must be called on that event loop. */
  Result<Ticket> issue(EventLoopState loop) {
    return loop.tickets().issue(loop.context().clock().nowMs());
  }

  /**
   * Runs a call, unless its ticket was already used; then the ticket table determines the reply.
   *
   * @param ticket ticket issued by this process
   * @param call call to run
   * @param admission returns the reason why the call must not run now, or empty if it may run
   * @param replyReceiver receives the reply, on the event loop of the ticket
   */
  void run(
      Ticket ticket,
      BackendCall call,
      Supplier<Optional<? extends Failure>> admission,
      Consumer<TicketReply> replyReceiver) {
    EventLoopState ownerLoop = owner(ticket);
    ownerLoop
        .eventLoop()
        .execute(() -> useTicket(ownerLoop, ticket, call, admission, replyReceiver));
  }

  /** Passes the outcome of a ticket's call to the receiver, on the event loop of the ticket. */
  void queryOutcome(Ticket ticket, String team, Consumer<TicketOutcome> receiver) {
    EventLoopState ownerLoop = owner(ticket);
    ownerLoop
        .eventLoop()
        .execute(
            () -> receiver.accept(ownerLoop.tickets().outcome(ticket, team, nowMs(ownerLoop))));
  }

  private EventLoopState owner(Ticket ticket) {
    return loops.get(ticket.partition(loops.size()));
  }

  private void useTicket(
      EventLoopState ownerLoop,
      Ticket ticket,
      BackendCall call,
      Supplier<Optional<? extends Failure>> admission,
      Consumer<TicketReply> replyReceiver) {
    TicketRequest request = new TicketRequest(call.teamLabel(), call.fingerprint());
    TicketDecision decision =
        ownerLoop.tickets().use(ticket, request, replyReceiver, nowMs(ownerLoop), admission);
    if (decision instanceof TicketDecision.Run) {
      createExecution(ownerLoop, ticket, call).start();
    } else if (decision instanceof TicketDecision.Reply reply) {
      replyReceiver.accept(reply.reply());
    }
  }

  private CallExecution createExecution(EventLoopState ownerLoop, Ticket ticket, BackendCall call) {
    TicketTable<Consumer<TicketReply>> table = ownerLoop.tickets();
    ResponseSink sink =
        ResponseRecorder.createSink(
            maxResponseBytes,
            response -> notifyWaiters(table.complete(ticket, response, nowMs(ownerLoop))),
            failure -> notifyWaiters(table.fail(ticket, failure, nowMs(ownerLoop))));
    return new CallExecution(
        ownerLoop, call, sink, () -> table.markDispatched(ticket).value().isPresent());
  }

  private static void notifyWaiters(Optional<Settlement<Consumer<TicketReply>>> settlement) {
    settlement.ifPresent(
        result -> result.waiters().forEach(waiter -> waiter.accept(result.reply())));
  }

  private static long nowMs(EventLoopState loop) {
    return loop.context().clock().nowMs();
  }
}
