package io.samphiregauge.verify;

import io.samphiregauge.core.ticket.TicketReply;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * One attempt of a non-idempotent request to a plain service.
 *
 * @param request name of the request, the same in all attempts
 * @param key key of the caller
 * @param ticket text of the ticket, or empty if the caller has none yet
 * @param forwarded whether another entry forwarded the request
 * @param callback receives the reply, and a new ticket if the entry issued one
 */
record ServiceCall(
    String request,
    String key,
    Optional<String> ticket,
    boolean forwarded,
    BiConsumer<TicketReply, Optional<String>> callback) {
  /** Returns the call as another entry receives it, with the callback of the forwarding entry. */
  ServiceCall asForwarded(BiConsumer<TicketReply, Optional<String>> nextCallback) {
    return new ServiceCall(request, key, ticket, true, nextCallback);
  }
}
