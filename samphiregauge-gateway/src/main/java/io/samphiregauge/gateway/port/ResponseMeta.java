package io.samphiregauge.gateway.port;

import io.samphiregauge.core.result.Result;
import java.util.Optional;

/**
 * Metadata from the headers of a backend server's response.
 *
 * @param attemptId identifier of the attempt to which the server responds
 * @param sealed whether the server vouches for the response with its seal
 * @param notExecuted whether the server states that the request has not run and will not run
 * @param leaving whether the server states that it is shutting down
 * @param waitMs time in milliseconds for which the server wants no requests, if it states one; a
 *     failure if the statement makes no sense
 */
public record ResponseMeta(
    Optional<String> attemptId,
    boolean sealed,
    boolean notExecuted,
    boolean leaving,
    Optional<Result<Long>> waitMs) {}
