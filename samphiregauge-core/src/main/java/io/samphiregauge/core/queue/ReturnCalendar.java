package io.samphiregauge.core.queue;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The times at which refused callers of one service were told to return. Not thread-safe.
 *
 * <p>A part of the room is kept for returns, which go before newcomers of their kind. Each refused
 * caller is told a time after those that were told before it, at the rate of that part. A return
 * reaches any entry; each entry promises and prefers returns at the same part of its own rate, so
 * that all entries together keep what they promise without exchanging messages. A caller that
 * repeats before its time keeps that time and gets no second one.
 */
final class ReturnCalendar {
  /**
   * Part of the room for returning callers. They are late for most objectives, so each of their
   * places costs a newcomer that would be on time.
   */
  private static final double RETURN_SHARE = 0.02;

  /** Returns that may come at once at an entry that did not promise them. */
  private static final double MAX_CREDIT = 2;

  /** Shortest time; a caller that returns earlier finds the same queue. */
  static final long MIN_DELAY_MS = 250;

  /** Distance between two returns while the rate is unknown. */
  private static final double UNKNOWN_RATE_SPACING_MS = 20;

  /** Deviation of clocks and networks by which a caller may return before its time. */
  private static final long EARLY_TOLERANCE_MS = 50;

  /** Time after which a caller that did not return is forgotten. */
  private static final long RETENTION_MS = 5_000;

  private static final int MAX_CALLERS = 4_096;

  /** Its multiples, modulo 1, are spread evenly over any number of callers. */
  private static final double GOLDEN_RATIO = 0.618_033_988_75;

  private final Map<String, Double> lastReturnMs = new HashMap<>();
  private double credit = MAX_CREDIT;
  private double spread;
  private long creditAtMs = Long.MIN_VALUE;
  private final Map<String, Told> toldTimes =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Told> eldest) {
          return size() > MAX_CALLERS;
        }
      };

  private record Told(long atMs, boolean promised) {}

  /** A time to return, and whether room is kept for the return. */
  record Booking(long delayMs, boolean promised) {}

  /**
   * Classifies a request by what its caller was told. A caller that was refused by another entry is
   * recognised by the time since its first attempt.
   *
   * @param request the request
   * @param ratePerMs rate at which requests of its rank are sent, if known
   * @param nowMs monotonic time in milliseconds
   */
  Waiting.Arrival classify(QueuedRequest request, OptionalDouble ratePerMs, long nowMs) {
    Optional<Told> told = told(request, nowMs);
    if (told.isPresent()) {
      if (nowMs < told.orElseThrow().atMs() - EARLY_TOLERANCE_MS) {
        return Waiting.Arrival.EARLY_REPEAT;
      }
      return told.orElseThrow().promised() ? Waiting.Arrival.RETURN : Waiting.Arrival.FIRST;
    }
    return request.ageMs() >= MIN_DELAY_MS && takeCredit(ratePerMs, nowMs)
        ? Waiting.Arrival.RETURN
        : Waiting.Arrival.FIRST;
  }

  /** Limits the returns from other entries to the part of the room that is kept for returns. */
  private boolean takeCredit(OptionalDouble ratePerMs, long nowMs) {
    double elapsedMs = creditAtMs == Long.MIN_VALUE ? 0 : nowMs - creditAtMs;
    creditAtMs = nowMs;
    credit = Math.min(MAX_CREDIT, credit + elapsedMs * ratePerMs.orElse(0) * RETURN_SHARE);
    if (credit < 1) {
      return false;
    }
    credit--;
    return true;
  }

  /**
   * Returns when a refused caller should return.
   *
   * @param request the refused request
   * @param ratePerMs rate at which requests of its rank are sent, if known
   * @param minDelayMs time until room is expected, if it is known
   * @param maxDelayMs longest delay that the caller honours
   * @param nowMs monotonic time in milliseconds
   */
  Booking book(
      QueuedRequest request,
      OptionalDouble ratePerMs,
      long minDelayMs,
      long maxDelayMs,
      long nowMs) {
    Optional<Told> earlier = told(request, nowMs).filter(told -> told.atMs() > nowMs);
    if (earlier.isPresent()) {
      return new Booking(earlier.orElseThrow().atMs() - nowMs, earlier.orElseThrow().promised());
    }
    double earliestMs = (double) nowMs + Math.max(MIN_DELAY_MS, minDelayMs);
    double spacingMs =
        ratePerMs.isPresent()
            ? 1 / (ratePerMs.getAsDouble() * RETURN_SHARE)
            : UNKNOWN_RATE_SPACING_MS;
    double atMs = Math.max(earliestMs, lastReturnMs.getOrDefault(request.kind(), 0.0) + spacingMs);
    boolean promised = atMs - nowMs <= maxDelayMs;
    if (promised) {
      lastReturnMs.put(request.kind(), atMs);
    }
    long delayMs = promised ? Math.round(atMs) - nowMs : unpromisedDelayMs(maxDelayMs);
    toldTimes.remove(request.callerKey());
    toldTimes.put(request.callerKey(), new Told(nowMs + delayMs, promised));
    return new Booking(delayMs, promised);
  }

  /**
   * Returns a delay for a caller for whom no room can be promised: in the second half of the time
   * that it honours, spread evenly.
   */
  private long unpromisedDelayMs(long maxDelayMs) {
    spread = (spread + GOLDEN_RATIO) % 1;
    return Math.max(MIN_DELAY_MS, Math.round(maxDelayMs * (1 + spread) / 2));
  }

  /** Forgets what a caller was told, after its request was sent. */
  void onSent(QueuedRequest request) {
    toldTimes.remove(request.callerKey());
  }

  private Optional<Told> told(QueuedRequest request, long nowMs) {
    return Optional.ofNullable(toldTimes.get(request.callerKey()))
        .filter(told -> nowMs - told.atMs() < RETENTION_MS);
  }
}
