package io.samphiregauge.core.ticket;

import io.samphiregauge.core.log.FoldedState;
import io.samphiregauge.core.result.Failure;
import io.samphiregauge.schema.record.Incarnation;
import java.util.Optional;

/** Decides which process handles a request with a ticket; safe for all threads. */
public final class TicketRouting {
  private TicketRouting() {}

  /**
   * Finds the place of a ticket.
   *
   * @param ticket ticket of the request
   * @param self this process
   * @param state folded log state
   * @param forwarded whether another entry forwarded the request to this one
   * @return here, another entry, or a refusal with {@code outcome_unknown}
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
    Optional<TicketRoute> other =
        state
            .process(owner.getVm())
            .filter(process -> !forwarded && process.getIncarnation().equals(owner))
            .map(process -> new TicketRoute.Forward(ticket, process.getJoined().getHttpAddress()));
    return other.orElseGet(() -> unroutable(new TicketFailure.OwnerUnreachable(owner.getVm())));
  }

  /**
   * Refuses a request before the book of its owner was asked, for example for an unknown key. With
   * a ticket the outcome is unknown, since the request may be a repeat of one that ran.
   *
   * @param ticket ticket of the request, if it has one
   * @param reason why the request is refused
   * @return a true refusal
   */
  public static TicketReply refusal(Optional<Ticket> ticket, Failure reason) {
    return ticket.isPresent() ? TicketReply.outcomeUnknown(reason) : TicketReply.notRun(reason);
  }

  private static TicketRoute unroutable(TicketFailure failure) {
    return new TicketRoute.Unroutable(TicketReply.outcomeUnknown(failure));
  }
}
