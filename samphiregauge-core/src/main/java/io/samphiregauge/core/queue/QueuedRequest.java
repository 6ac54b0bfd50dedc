package io.samphiregauge.core.queue;

import io.samphiregauge.core.room.WorkRequest;

/**
 * A request that is offered to a queue.
 *
 * @param work the request as decisions under load see it
 * @param kind name of its kind; requests of one kind have the same objective
 * @param subject session or shared prompt part that must not starve; empty if unknown
 * @param callerKey key by which a return of the same caller for the same work is recognised
 * @param deadlineAtMs monotonic time in milliseconds at which its caller needs the whole response
 * @param bytes memory that it occupies while it waits
 * @param ageMs time since the first attempt of its caller, in milliseconds; 0 for a first attempt
 */
public record QueuedRequest(
    WorkRequest work,
    String kind,
    String subject,
    String callerKey,
    long deadlineAtMs,
    long bytes,
    long ageMs) {
  /** Tokens of prefill that take as long as the generation of one token. */
  private static final long OUTPUT_TOKEN_COST = 10;

  /** Returns the size of the work in tokens of prefill; 1 for a request without a prompt. */
  public long cost() {
    return Math.max(1, work.promptTokens() + OUTPUT_TOKEN_COST * work.outputTokens());
  }
}
