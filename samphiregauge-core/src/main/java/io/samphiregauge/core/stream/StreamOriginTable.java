package io.samphiregauge.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The software versions that began the streams of the last seconds, by the callers' attempts that
 * received their first events. Not thread-safe.
 */
public final class StreamOriginTable {
  /** Limits the memory to a few megabytes; an entry begins some hundred streams a second. */
  private static final int MAX_ORIGINS = 20_000;

  private final Map<String, Known> origins = new LinkedHashMap<>();
  private final Map<String, Known> unwritten = new LinkedHashMap<>();

  private record Known(ServiceVersion origin, long addedAtMs) {}

  /**
   * Records to write to the store.
   *
   * @param attemptsByOrigin identifiers of attempts, by the version that began their streams
   * @param takenAtMs monotonic time in milliseconds
   */
  public record Batch(Map<ServiceVersion, List<String>> attemptsByOrigin, long takenAtMs) {
    /** Returns whether there is nothing to write. */
    public boolean isEmpty() {
      return attemptsByOrigin.isEmpty();
    }
  }

  /**
   * Adds a stream that began at this entry.
   *
   * @param attemptId identifier of the caller's attempt
   * @param origin the version that began the stream
   * @param nowMs monotonic time in milliseconds
   */
  public void addOwn(String attemptId, ServiceVersion origin, long nowMs) {
    put(origins, attemptId, new Known(origin, nowMs));
    put(unwritten, attemptId, new Known(origin, nowMs));
  }

  /**
   * Adds a record that was read from the store.
   *
   * @param attemptId identifier of the caller's attempt
   * @param origin the version that began the stream
   * @param nowMs monotonic time in milliseconds
   */
  public void addStored(String attemptId, ServiceVersion origin, long nowMs) {
    put(origins, attemptId, new Known(origin, nowMs));
  }

  private static void put(Map<String, Known> table, String attemptId, Known known) {
    table.putIfAbsent(attemptId, known);
    Iterator<Known> oldestFirst = table.values().iterator();
    while (oldestFirst.hasNext()) {
      boolean expired =
          known.addedAtMs() - oldestFirst.next().addedAtMs() > VersionLedger.SETTLE_MS;
      if (!expired && table.size() <= MAX_ORIGINS) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /** Returns the version that began a stream, if it is known. */
  public Optional<ServiceVersion> find(String attemptId) {
    return Optional.ofNullable(origins.get(attemptId)).map(Known::origin);
  }

  /** Returns whether there are records of certain services that are not in the store. */
  public boolean hasUnwritten(Predicate<String> service) {
    return unwritten.values().stream().anyMatch(known -> service.test(known.origin().service()));
  }

  /**
   * Removes and returns the records of certain services that are not in the store.
   *
   * @param service selects the services
   * @param nowMs monotonic time in milliseconds
   */
  public Batch takeUnwritten(Predicate<String> service, long nowMs) {
    Map<ServiceVersion, List<String>> attempts = new HashMap<>();
    Iterator<Map.Entry<String, Known>> entries = unwritten.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, Known> entry = entries.next();
      ServiceVersion origin = entry.getValue().origin();
      if (!service.test(origin.service())) {
        continue;
      }
      attempts.computeIfAbsent(origin, any -> new ArrayList<>()).add(entry.getKey());
      entries.remove();
    }
    return new Batch(attempts, nowMs);
  }

  /** Puts records back whose write has failed. */
  public void putBack(Batch batch) {
    batch
        .attemptsByOrigin()
        .forEach(
            (origin, attemptIds) ->
                attemptIds.forEach(id -> put(unwritten, id, new Known(origin, batch.takenAtMs()))));
  }
}
