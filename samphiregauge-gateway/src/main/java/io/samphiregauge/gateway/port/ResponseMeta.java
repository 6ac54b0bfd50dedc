package io.samphiregauge.gateway.port;

import java.util.Optional;

/**
 * What the head of a server's answer says beside its status.
 *
 * @param attemptId identifier of the try that it answers
 * @param sealed whether the server vouches for the answer
 * @param notExecuted whether the server states that the request has not run and never will
 */
public record ResponseMeta(Optional<String> attemptId, boolean sealed, boolean notExecuted) {}
