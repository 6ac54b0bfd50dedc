package io.samphiregauge.daemon.traffic;

import io.netty.handler.codec.http.QueryStringDecoder;
import io.samphiregauge.core.route.DirectoryOrder;
import io.samphiregauge.core.ticket.Ticket;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.entry.DirectoryAnswer;
import io.samphiregauge.schema.entry.EntryAddress;
import io.samphiregauge.schema.record.ProcessState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** Answers directory queries: returns the entry addresses in the order a caller should try them. */
final class DirectoryService {
  private static final int MAX_TICKETS = 8;

  private final TrafficContext context;
  private final DirectoryOrder addressOrder;
  private final DrainState drainState;

  DirectoryService(TrafficContext context, DrainState drainState) {
    this.context = context;
    this.addressOrder =
        DirectoryOrder.byLatency(
            context.settings().getClientHopUs(), context.settings().getDomainHopUs());
    this.drainState = drainState;
  }

  /**
   * Returns the addresses for a caller and some tickets. The query may name the {@code model} or
   * {@code service} that the caller will use, and the number of {@code tickets} that it requests.
   */
  DirectoryAnswer lookUp(
      QueryStringDecoder query, String callerId, BackendIndex index, TicketIssuer ticketIssuer) {
    TrafficView view = context.viewSupplier().get();
    List<EntryAddress> entries = servingEntries(view);
    int keepMs = context.settings().getDirectoryKeepMs();
    drainState.extendDirectoryValidity(context.clock().nowMs() + keepMs);
    return new DirectoryAnswer(
        addressOrder.order(entries, backends(view, query, index), callerId),
        keepMs,
        issueTickets(parameter(query, "tickets"), ticketIssuer));
  }

  /** Issues a ticket, or returns empty if the ticket table is full. */
  @FunctionalInterface
  interface TicketIssuer {
    Optional<Ticket> issue();
  }

  private List<EntryAddress> servingEntries(TrafficView view) {
    List<EntryAddress> entries = new ArrayList<>();
    for (ProcessState process : view.state().processes().values()) {
      if (isListed(view, process)) {
        entries.add(
            new EntryAddress(
                process.getJoined().getHttpAddress(), process.getJoined().getFailureDomain()));
      }
    }
    return entries;
  }

  private boolean isListed(TrafficView view, ProcessState process) {
    boolean isSelf = process.getIncarnation().equals(context.self());
    return !process.isEnded()
        && process.getJoined().getRegion().equals(context.settings().getRegion())
        && !view.leavingVms().contains(process.getIncarnation().getVm())
        && !(isSelf && drainState.isDraining());
  }

  private static List<Backend> backends(
      TrafficView view, QueryStringDecoder query, BackendIndex index) {
    Optional<String> model = parameter(query, "model");
    Optional<String> service = parameter(query, "service");
    if (model.isPresent()) {
      return index.enginesForModel(view.config(), model.get());
    }
    Collection<Backend> allBackends = view.config().backends();
    return service
        .map(name -> index.backendsForService(view.config(), name))
        .orElseGet(() -> List.copyOf(allBackends));
  }

  private static List<String> issueTickets(
      Optional<String> requestedCount, TicketIssuer ticketIssuer) {
    int count =
        requestedCount
            .filter(text -> text.matches("\\d"))
            .map(text -> Math.min(MAX_TICKETS, Integer.parseInt(text)))
            .orElse(1);
    List<String> issued = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ticketIssuer.issue().ifPresent(ticket -> issued.add(ticket.text()));
    }
    return issued;
  }

  private static Optional<String> parameter(QueryStringDecoder query, String name) {
    return Optional.ofNullable(query.parameters().get(name)).map(values -> values.get(0));
  }
}
