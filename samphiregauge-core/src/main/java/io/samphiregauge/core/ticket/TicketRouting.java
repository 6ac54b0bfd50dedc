package io.samphiregauge.core.ticket;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.schema.record.Incarnation;
import java.util.Optional;

/** Decides which process handles a request with a ticket; thread-safe. */
public final class TicketRouting {
  private TicketRouting() {}

  /**
   * Determines the destination of a request with a ticket.
   *
   * @param ticket ticket of the request
   * @param self this process
   * @param state folded log state
   * @param forwarded whether another entry forwarded the request to this one; it is then not
   *     forwarded again
   * @return this process, another entry, or a refusal with the outcome {@code outcome_unknown}
   */
  public static TicketRoute route(
      Ticket ticket, Incarnation self, FoldedState state, boolean forwarded) {
    Incarnation owner = ticket.owner();
    if (state.hasEnded(owner)) {
      return unroutable(new TicketFailure.OwnerEnded(owner.getVm()));
    }
    if (owner.equals(self)) {
      return new TicketRoute.Local(ticket);
    }
    Optional<TicketRoute> forward =
        state
            .process(owner.getVm())
            .filter(process -> !forwarded && process.getIncarnation().equals(owner))
            .map(process -> new TicketRoute.Forward(ticket, process.getJoined().getHttpAddress()));
    return forward.orElseGet(() -> unroutable(new TicketFailure.OwnerUnreachable(owner.getVm())));
  }

  /**
   * Creates the refusal of a request whose ticket table was not consulted, for example because of
   * an unknown key. With a ticket the outcome is unknown, since the request may be a repeat of one
   * that ran.
   *
   * @param ticket ticket of the request, if it has one
   * @param reason reason of the refusal
   * @return a refusal with the outcome {@code not_run} only if there is no ticket
   */
  public static TicketReply refusal(Optional<Ticket> ticket, Failure reason) {
    return ticket.isPresent() ? TicketReply.outcomeUnknown(reason) : TicketReply.notRun(reason);
  }

  private static TicketRoute unroutable(TicketFailure failure) {
    return new TicketRoute.Unroutable(TicketReply.outcomeUnknown(failure));
  }
}
