package io.samphiregauge.core.suspect;

import java.util.ArrayList;
import java.util.List;

/**
 * The traits by which requests that crash servers are recognised, from the least to the most
 * specific one: the shared prompt parts in prompt order, then the digest of the whole request.
 *
 * <p>The last prompt part belongs to one request only, so it is left out: the digest covers it.
 *
 * @param values at least the digest
 */
public record RequestTraits(List<String> values) {
  /** Capacity in traits; the parts nearest to the end of a longer prompt are left out. */
  public static final int MAX_TRAITS = 32;

  /**
   * Validates and copies the values.
   *
   * @throws IllegalArgumentException if the digest is missing
   */
  public RequestTraits {
    if (values.isEmpty()) {
      throw new IllegalArgumentException("The traits of a request lack its digest");
    }
    values = values.size() > MAX_TRAITS ? shorten(values) : List.copyOf(values);
  }

  private static List<String> shorten(List<String> values) {
    List<String> kept = new ArrayList<>(values.subList(0, MAX_TRAITS - 1));
    kept.add(values.get(values.size() - 1));
    return List.copyOf(kept);
  }

  /** Returns the shared prompt parts, in prompt order. */
  public List<String> parts() {
    return values.subList(0, values.size() - 1);
  }

  /** Returns the digest of the whole request. */
  public String digest() {
    return values.get(values.size() - 1);
  }
}
