package io.samphiregauge.verify;

import io.samphiregauge.core.ticket.TicketReply;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * A non-idempotent request on its way.
 *
 * @param request name of the request, the same in all its repeats
 * @param key key of the caller
 * @param ticket text of the ticket
 * @param forwarded whether another entry forwarded it
 * @param callback takes the reply and a new ticket, where the entry issued one
 */
record ServiceCall(
    String request,
    String key,
    Optional<String> ticket,
    boolean forwarded,
    BiConsumer<TicketReply, Optional<String>> callback) {
  ServiceCall asForwarded(BiConsumer<TicketReply, Optional<String>> nextCallback) {
    return new ServiceCall(request, key, ticket, true, nextCallback);
  }
}
