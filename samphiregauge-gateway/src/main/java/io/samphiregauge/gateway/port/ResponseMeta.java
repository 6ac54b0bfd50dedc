package io.samphiregauge.gateway.port;

import java.util.Optional;

/**
 * Metadata from the headers of a backend server's response.
 *
 * @param attemptId identifier of the attempt to which the server responds
 * @param sealed whether the server vouches for the response with its seal
 * @param notExecuted whether the server states that the request has not run and will not run
 */
public record ResponseMeta(Optional<String> attemptId, boolean sealed, boolean notExecuted) {}
