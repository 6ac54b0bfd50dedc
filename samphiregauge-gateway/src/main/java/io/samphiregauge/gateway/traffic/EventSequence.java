package io.samphiregauge.gateway.traffic;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Checks that a stream that another server continues goes on right after its last event. Confined
 * to one event loop.
 */
final class EventSequence {
  private Optional<String> lastId = Optional.empty();
  private boolean consecutive = true;
  private boolean awaitsContinuation;

  /** Returns the identifier of the last event. */
  Optional<String> lastId() {
    return lastId;
  }

  /** Returns whether another server is to continue and has not sent an event yet. */
  boolean awaitsContinuation() {
    return awaitsContinuation;
  }

  /** Records that another server continues the stream, unless it has no event yet. */
  void startContinuation() {
    awaitsContinuation = lastId.isPresent();
  }

  /**
   * Adds events.
   *
   * @param first identifier of the first of them that has one
   * @param last identifier of the last of them that has one
   * @return whether they may follow; if not, nothing is changed
   */
  boolean add(Optional<String> first, Optional<String> last) {
    if (first.isEmpty()) {
      return !awaitsContinuation;
    }
    boolean next = isNext(first.orElseThrow());
    if (awaitsContinuation && !next && (consecutive || !isLater(first.orElseThrow()))) {
      return false;
    }
    consecutive = consecutive && next;
    awaitsContinuation = false;
    lastId = last;
    return true;
  }

  private boolean isNext(String id) {
    OptionalLong number = parse(id);
    return number.isPresent()
        && (lastId.isEmpty() || number.getAsLong() - 1 == lastNumber().orElse(Long.MIN_VALUE));
  }

  private boolean isLater(String id) {
    OptionalLong number = parse(id);
    return number.isEmpty()
        ? !lastId.equals(Optional.of(id))
        : number.getAsLong() > lastNumber().orElse(Long.MIN_VALUE);
  }

  private OptionalLong lastNumber() {
    return lastId.map(EventSequence::parse).orElse(OptionalLong.empty());
  }

  private static OptionalLong parse(String id) {
    return id.matches("\\d{1,18}") ? OptionalLong.of(Long.parseLong(id)) : OptionalLong.empty();
  }
}
