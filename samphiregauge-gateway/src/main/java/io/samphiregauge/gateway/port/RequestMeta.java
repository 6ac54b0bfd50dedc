package io.samphiregauge.gateway.port;

import io.samphiregauge.core.dispatch.Prompt;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the head of a caller's request says beside method and path.
 *
 * @param attemptId identifier of this try of the caller; servers echo it
 * @param deadlineMs time for which the caller waits, in milliseconds
 * @param teamKey key of the caller's team
 * @param prompt the prompt, for a model engine
 * @param lastEventId identifier of the last event that the caller has of the stream
 */
public record RequestMeta(
    Optional<String> attemptId,
    OptionalLong deadlineMs,
    Optional<String> teamKey,
    Optional<Prompt> prompt,
    Optional<String> lastEventId) {}
