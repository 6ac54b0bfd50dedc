package io.samphiregauge.core.suspect;

import io.samphiregauge.schema.gateway.CrashRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The crash of one server incarnation, with the requests of all entries that were lost in it. */
final class CrashEvent {
  /** Position of the digest of a request, before all prompt parts. */
  static final int DIGEST_POSITION = -1;

  /** Capacity in requests; some twenty run on a server at a time. */
  static final int MAX_REQUESTS = 64;

  private final String server;
  private final Map<String, RequestTraits> requestsByDigest = new LinkedHashMap<>();
  private final Map<String, List<String>> digestsByTrait = new HashMap<>();
  private final Map<String, Integer> positions = new HashMap<>();
  private long seenAtMs;

  CrashEvent(String server, long seenAtMs) {
    this.server = server;
    this.seenAtMs = seenAtMs;
  }

  /**
   * Adds lost requests.
   *
   * @param lost requests that one entry has lost
   * @param atMs time at which the crash was seen
   * @return whether the event changed
   */
  boolean add(List<RequestTraits> lost, long atMs) {
    // Repeated reports differ by their transit, which changes nothing in the counts.
    boolean changed = seenAtMs - atMs > CrashAttribution.SIMULTANEOUS_MS;
    seenAtMs = Math.min(seenAtMs, atMs);
    for (RequestTraits request : lost) {
      if (requestsByDigest.size() < MAX_REQUESTS
          && requestsByDigest.putIfAbsent(request.digest(), request) == null) {
        changed = true;
        for (int i = 0; i < request.parts().size(); i++) {
          positions.merge(request.parts().get(i), i, Math::max);
        }
        Set.copyOf(request.values())
            .forEach(
                trait ->
                    digestsByTrait
                        .computeIfAbsent(trait, key -> new ArrayList<>())
                        .add(request.digest()));
        positions.put(request.digest(), DIGEST_POSITION);
      }
    }
    return changed;
  }

  CrashRecord toMessage() {
    return new CrashRecord(
        server, requestsByDigest.values().stream().map(RequestTraits::values).toList());
  }

  String server() {
    return server;
  }

  long seenAtMs() {
    return seenAtMs;
  }

  Set<String> traits() {
    return positions.keySet();
  }

  boolean contains(String trait) {
    return positions.containsKey(trait);
  }

  /** Returns the position of a trait in its request; {@link #DIGEST_POSITION} for a digest. */
  int position(String trait) {
    return positions.getOrDefault(trait, 0);
  }

  /** Returns the digests of the lost requests with a trait. */
  List<String> digestsOf(String trait) {
    return digestsByTrait.getOrDefault(trait, List.of());
  }
}
