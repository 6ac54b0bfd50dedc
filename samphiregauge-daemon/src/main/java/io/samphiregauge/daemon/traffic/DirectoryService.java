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

/** Tells callers which addresses to use. */
final class DirectoryService {
  private static final int MAX_TICKETS = 8;

  private final TrafficContext context;
  private final DirectoryOrder addressOrder;
  private final DrainState drainState;

  DirectoryService(TrafficContext parts, DrainState drain) {
    this.context = parts;
    this.addressOrder =
        DirectoryOrder.byDistance(
            parts.settings().getClientHopUs(), parts.settings().getDomainHopUs());
    this.drainState = drain;
  }

  /**
   * Answers a caller. The query may name a {@code model} or a {@code service} that the caller will
   * use, and the number of {@code tickets} that it wants.
   */
  DirectoryAnswer lookUp(
      QueryStringDecoder query, String caller, BackendIndex index, TicketIssuer tickets) {
    TrafficView view = context.viewSupplier().get();
    List<EntryAddress> entries = servingEntries(view);
    int keepMs = context.settings().getDirectoryKeepMs();
    drainState.extendDirectoryValidity(context.clock().nowMs() + keepMs);
    return new DirectoryAnswer(
        addressOrder.order(entries, backends(view, query, index), caller),
        keepMs,
        issueTickets(parameter(query, "tickets"), tickets));
  }

  /** Issues a ticket, if there is room for one. */
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
    boolean self = process.getIncarnation().equals(context.self());
    return !process.isEnded()
        && process.getJoined().getRegion().equals(context.settings().getRegion())
        && !view.leavingVms().contains(process.getIncarnation().getVm())
        && !(self && drainState.isDraining());
  }

  private static List<Backend> backends(
      TrafficView view, QueryStringDecoder query, BackendIndex index) {
    Optional<String> model = parameter(query, "model");
    Optional<String> service = parameter(query, "service");
    if (model.isPresent()) {
      return index.enginesForModel(view.config(), model.get());
    }
    Collection<Backend> all = view.config().backends();
    return service
        .map(name -> index.backendsForService(view.config(), name))
        .orElseGet(() -> List.copyOf(all));
  }

  private static List<String> issueTickets(Optional<String> wanted, TicketIssuer tickets) {
    int count =
        wanted
            .filter(text -> text.matches("\\d"))
            .map(text -> Math.min(MAX_TICKETS, Integer.parseInt(text)))
            .orElse(1);
    List<String> issued = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      tickets.issue().ifPresent(ticket -> issued.add(ticket.text()));
    }
    return issued;
  }

  private static Optional<String> parameter(QueryStringDecoder query, String name) {
    return Optional.ofNullable(query.parameters().get(name)).map(values -> values.get(0));
  }
}
