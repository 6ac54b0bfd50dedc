package io.samphiregauge.gateway.port;

import io.samphiregauge.core.dispatch.Prompt;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Metadata from the headers of a caller's request.
 *
 * @param attemptId identifier of this attempt of the caller; servers echo it
 * @param deadlineMs time for which the caller waits, in milliseconds
 * @param teamKey key that identifies the caller's team
 * @param prompt description of the prompt, if the request is for a model engine
 * @param lastEventId identifier of the last event of the stream that the caller has received
 * @param resumedAttemptId identifier of the caller's attempt that brought the first event of the
 *     stream that this request resumes
 */
public record RequestMeta(
    Optional<String> attemptId,
    OptionalLong deadlineMs,
    Optional<String> teamKey,
    Optional<Prompt> prompt,
    Optional<String> lastEventId,
    Optional<String> resumedAttemptId) {}
